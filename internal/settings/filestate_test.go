package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The poll must not read an unchanged file each time, and must not miss a change that leaves
// size and time of modification the same: a replaced file, or a second write within one tick
// of the file system's clock.
func TestMayHaveChanged_ByFileState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	watcher := &Watcher[struct{}]{path: path}
	start := time.Now()
	write := func(content string, modified time.Time) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	wantPoll := func(state string, want bool) {
		t.Helper()
		if got := watcher.mayHaveChanged(start); got != want {
			t.Errorf("%s: got mayHaveChanged %v, want %v", state, got, want)
		}
	}
	wantPoll("missing file", true)
	old := start.Add(-time.Hour)
	write("a", old)
	wantPoll("new file", true)
	wantPoll("unchanged", false)
	wantPoll("unchanged for the second time", false)
	write("bb", old)
	wantPoll("different size", true)
	wantPoll("unchanged", false)
	write("cc", old.Add(time.Second))
	wantPoll("different time of modification", true)
	wantPoll("unchanged", false)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	wantPoll("removed file", true)
	write("dd", start)
	wantPoll("modified just now", true)
	wantPoll("modified just now, possibly again in the same tick", true)
	other := path + ".new"
	write("ee", old)
	wantPoll("old time of modification", true)
	wantPoll("unchanged", false)
	if err := os.WriteFile(other, []byte("ff"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(other, old, old); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(other, path); err != nil {
		t.Fatal(err)
	}
	wantPoll("replaced by a file of the same size and time", true)
	wantPoll("unchanged", false)
}

func BenchmarkPoll(b *testing.B) {
	path := filepath.Join(b.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, make([]byte, 2000), 0o600); err != nil {
		b.Fatal(err)
	}
	old := time.Now().Add(-time.Hour)
	if err := os.Chtimes(path, old, old); err != nil {
		b.Fatal(err)
	}
	watcher := &Watcher[struct{}]{path: path}
	watcher.mayHaveChanged(time.Now())
	b.Run("stat", func(b *testing.B) {
		for b.Loop() {
			if watcher.mayHaveChanged(time.Now()) {
				b.Fatal("mayHaveChanged of an unchanged file: got true, want false")
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if digestOf(readFile(path)) == watcher.loadedDigest {
				b.Fatal("digest of the file: got the zero digest, want another")
			}
		}
	})
}
