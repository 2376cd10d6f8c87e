package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestPollReadsOnlyWhatMayHaveChanged(t *testing.T) {
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
	look := func(what string, want bool) {
		t.Helper()
		if got := watcher.mayHaveChanged(start); got != want {
			t.Errorf("%s: may have changed %v, want %v", what, got, want)
		}
	}
	look("a file that is not there", true)
	old := start.Add(-time.Hour)
	write("a", old)
	look("a new file", true)
	look("the same", false)
	look("the same again", false)
	write("bb", old)
	look("another size", true)
	look("the same", false)
	write("cc", old.Add(time.Second))
	look("another time", true)
	look("the same", false)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	look("a file that is gone", true)
	write("dd", start)
	look("written just now", true)
	look("written just now, and maybe again in the same tick", true)
	other := path + ".new"
	write("ee", old)
	look("an old time", true)
	look("the same", false)
	if err := os.WriteFile(other, []byte("ff"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(other, old, old); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(other, path); err != nil {
		t.Fatal(err)
	}
	look("another file of the same size and time", true)
	look("the same", false)
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
				b.Fatal("changed")
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if digestOf(readFile(path)) == watcher.seen {
				b.Fatal("no content")
			}
		}
	})
}
