package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

func entries(first, last, term uint64) []raft.Entry {
	var made []raft.Entry
	for index := first; index <= last; index++ {
		made = append(made, raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry-%d-of-term-%d", index, term)})
	}
	return made
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func openStore(t testing.TB, directory string) *Disk {
	t.Helper()
	d, err := OpenDisk(DiskConfig{Directory: directory})
	requireNoError(t, err)
	return d
}

func loadState(t *testing.T, s Store) LoadedState {
	t.Helper()
	loaded, err := s.Load()
	requireNoError(t, err)
	return loaded
}

func writeText(text string) func(io.Writer) error {
	return func(w io.Writer) error { _, err := io.WriteString(w, text); return err }
}

// forEachStore runs a test on both stores; reopen starts again on the same data.
func forEachStore(t *testing.T, test func(t *testing.T, s Store, reopen func() Store)) {
	t.Helper()
	t.Run("disk", func(t *testing.T) {
		directory := t.TempDir()
		d := openStore(t, directory)
		t.Cleanup(func() { _ = d.Close() })
		test(t, d, func() Store {
			requireNoError(t, d.Close())
			d = openStore(t, directory)
			return d
		})
	})
	t.Run("memory", func(t *testing.T) {
		m := NewMemory(1)
		test(t, m, func() Store { m.Crash(); return m })
	})
}

func TestStore_RoundTripAndRelistedSuffix(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		id := s.ReplicaID()
		if len(id) != 16 || strings.Trim(string(id), "0123456789abcdef") != "" {
			t.Fatalf("replica id %q is not 16 hex digits", id)
		}
		if !s.Empty() {
			t.Fatal("a new store is not empty")
		}
		hardState := raft.HardState{Term: 2, VotedFor: id, Commit: 1}
		requireNoError(t, s.Save(&hardState, entries(1, 5, 1), true))
		requireNoError(t, s.Save(nil, entries(3, 4, 2), true))
		s = reopen()
		if s.ReplicaID() != id || s.Empty() {
			t.Fatalf("after reopening: id %q, empty %v", s.ReplicaID(), s.Empty())
		}
		want := LoadedState{HardState: hardState, Entries: append(entries(1, 2, 1), entries(3, 4, 2)...)}
		if diff := cmp.Diff(want, loadState(t, s)); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestStore_SnapshotsReplaceLog(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		members := raft.Membership{Voters: []raft.Member{{ID: "a", Name: "one", Address: "127.0.0.1:1"}}}
		meta := raft.SnapshotMeta{Index: 8, Term: 1, Membership: members}
		requireNoError(t, s.Save(&raft.HardState{Term: 1}, entries(1, 10, 1), true))
		requireNoError(t, s.SaveSnapshot(meta, 3, writeText("state at 8")))

		half := func(w io.Writer) error { _, _ = io.WriteString(w, "half"); return errors.New("no more") }
		if err := s.SaveSnapshot(raft.SnapshotMeta{Index: 9, Term: 1}, 0, half); err == nil {
			t.Fatal("a snapshot that could not be written was taken")
		}
		s = reopen()
		want := LoadedState{HardState: raft.HardState{Term: 1}, Snapshot: meta, SnapshotData: []byte("state at 8"), Entries: entries(6, 10, 1)}
		if diff := cmp.Diff(want, loadState(t, s)); diff != "" {
			t.Fatal(diff)
		}

		newer := raft.SnapshotMeta{Index: 50, Term: 3, Membership: members}
		requireNoError(t, s.InstallSnapshot(newer, strings.NewReader("state at 50")))
		s = reopen()
		want = LoadedState{HardState: raft.HardState{Term: 1}, Snapshot: newer, SnapshotData: []byte("state at 50")}
		if diff := cmp.Diff(want, loadState(t, s)); diff != "" {
			t.Fatal(diff)
		}
		gotMeta, data, ok, err := s.OpenSnapshot()
		requireNoError(t, err)
		content, err := io.ReadAll(data)
		requireNoError(t, err)
		requireNoError(t, data.Close())
		if !ok || string(content) != "state at 50" || !cmp.Equal(gotMeta, newer) {
			t.Fatalf("opened %v %q %+v", ok, content, gotMeta)
		}
		requireNoError(t, s.SaveSnapshot(raft.SnapshotMeta{Index: 9, Term: 1}, 0, writeText("late"))) // ignored
		requireNoError(t, s.Save(nil, entries(51, 52, 3), true))
		if got := len(loadState(t, reopen()).Entries); got != 2 {
			t.Fatalf("%d entries follow the installed snapshot, want 2", got)
		}
	})
}

func TestInstallSnapshot_InterruptedDropsLog(t *testing.T) {
	directory := t.TempDir()
	d := openStore(t, directory)
	requireNoError(t, d.Save(&raft.HardState{Term: 1, Commit: 2}, entries(1, 3, 1), true))
	meta := raft.SnapshotMeta{Index: 40, Term: 2}
	requireNoError(t, writeSnapshotFile(datafile.OS{}, directory, meta, writeText("state")))
	requireNoError(t, d.Close())
	d = openStore(t, directory)
	if loaded := loadState(t, d); len(loaded.Entries) != 0 || loaded.Snapshot.Index != 40 {
		t.Fatalf("loaded %d entries, snapshot %d", len(loaded.Entries), loaded.Snapshot.Index)
	}
	requireNoError(t, d.Save(nil, entries(41, 41, 2), true))
	if got := len(loadState(t, d).Entries); got != 1 {
		t.Fatalf("%d entries, want 1", got)
	}
	requireNoError(t, d.Close())
}

// TestInstallSnapshot_BeforeEndOfLogDropsIt: the leader's snapshot replaces a log
// that went on behind it with entries that the leader does not have.
func TestInstallSnapshot_BeforeEndOfLogDropsIt(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		requireNoError(t, s.Save(&raft.HardState{Term: 1}, entries(1, 10, 1), true))
		meta := raft.SnapshotMeta{Index: 5, Term: 2}
		requireNoError(t, s.InstallSnapshot(meta, strings.NewReader("state at 5")))
		s = reopen()
		want := LoadedState{HardState: raft.HardState{Term: 1}, Snapshot: meta, SnapshotData: []byte("state at 5")}
		if diff := cmp.Diff(want, loadState(t, s)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// flipByte inverts a bit of the text wherever it is in a file.
func flipByte(t *testing.T, path, text string) {
	t.Helper()
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	found := false
	for start := 0; ; {
		at := strings.Index(string(content[start:]), text)
		if at < 0 {
			break
		}
		found = true
		content[start+at+len(text)-1] ^= 1
		start += at + len(text)
	}
	if !found {
		t.Fatalf("%q is not in %s", text, path)
	}
	requireNoError(t, os.WriteFile(path, content, datafile.FilePermission))
}

func TestOpen_DamageRejected(t *testing.T) {
	remove := func(name string) func(t *testing.T, directory, _ string) {
		return func(t *testing.T, directory, _ string) {
			t.Helper()
			requireNoError(t, os.Remove(filepath.Join(directory, name)))
		}
	}
	flipIn := func(name, text string) func(t *testing.T, directory, _ string) {
		return func(t *testing.T, directory, _ string) {
			t.Helper()
			flipByte(t, filepath.Join(directory, name), text)
		}
	}
	truncate := func(name string, size int64) func(t *testing.T, directory, _ string) {
		return func(t *testing.T, directory, _ string) {
			t.Helper()
			requireNoError(t, os.Truncate(filepath.Join(directory, name), size))
		}
	}
	logFile := wal.SegmentName(wal.FirstSegment)
	flipReplicaID := func(t *testing.T, directory, id string) {
		t.Helper()
		flipByte(t, filepath.Join(directory, logFile), id)
	}
	cases := map[string]struct {
		file   string
		damage func(t *testing.T, directory, id string)
	}{
		"entry":           {logFile, flipIn(logFile, "entry-9-of-term-1")},
		"replica id":      {logFile, flipReplicaID},
		"snapshot data":   {snapshotFile, flipIn(snapshotFile, "state at 8")},
		"snapshot meta":   {snapshotFile, flipIn(snapshotFile, "machine-one")},
		"snapshot short":  {snapshotFile, truncate(snapshotFile, 90)},
		"log cut short":   {logFile, truncate(logFile, 8192)},
		"log cut a byte":  {logFile, truncate(logFile, wal.DefaultSegmentSize-1)},
		"log cut amid":    {logFile, truncate(logFile, 300)},
		"log too long":    {logFile, truncate(logFile, wal.DefaultSegmentSize+1)},
		"log empty":       {logFile, truncate(logFile, 0)},
		"log missing":     {logFile, remove(logFile)},
		"snapshot gone":   {snapshotFile, remove(snapshotFile)},
		"archive missing": {archiveFile, remove(archiveFile)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			d := openStore(t, directory)
			requireNoError(t, d.Save(&raft.HardState{Term: 1, VotedFor: "b"}, entries(1, 10, 1), true))
			members := raft.Membership{Voters: []raft.Member{{ID: "a", Name: "machine-one"}}}
			requireNoError(t, d.SaveSnapshot(raft.SnapshotMeta{Index: 8, Term: 1, Membership: members}, 2, writeText("state at 8")))
			requireNoError(t, d.Close())
			c.damage(t, directory, string(d.ReplicaID()))

			d, err := OpenDisk(DiskConfig{Directory: directory})
			if err == nil {
				_, err = d.Load()
				_ = d.Close()
			}
			if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), c.file) {
				t.Fatalf("got %v, want ErrCorrupt naming %s", err, c.file)
			}
		})
	}
}

func TestLoad_GapsRejected(t *testing.T) {
	d := openStore(t, t.TempDir())
	defer func() { _ = d.Close() }()
	requireNoError(t, d.Save(nil, entries(2, 3, 1), true))
	if _, err := d.Load(); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("a log that starts at 2: %v", err)
	}
	requireNoError(t, d.Save(nil, entries(1, 2, 1), true))
	requireNoError(t, d.Save(nil, entries(5, 6, 1), true))
	if _, err := d.Load(); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("a log without 3 and 4: %v", err)
	}
}

func TestOpen_LockedDirectoryRejected(t *testing.T) {
	directory := t.TempDir()
	d := openStore(t, directory)
	if _, err := OpenDisk(DiskConfig{Directory: directory}); !errors.Is(err, ErrLocked) {
		t.Fatalf("got %v, want ErrLocked", err)
	}
	requireNoError(t, d.Close())
	requireNoError(t, openStore(t, directory).Close())
}

func TestMemory_CrashLosesOnlyUnsynced(t *testing.T) {
	m := NewMemory(7)
	requireNoError(t, m.Save(&raft.HardState{Term: 1}, entries(1, 2, 1), true))
	requireNoError(t, m.Save(&raft.HardState{Term: 1, Commit: 2}, entries(3, 4, 1), false))
	requireNoError(t, m.Archive().Put([]record.ArchivedJob{{ID: "kept"}}))
	requireNoError(t, m.Archive().Sync())
	requireNoError(t, m.Archive().Put([]record.ArchivedJob{{ID: "lost"}}))
	if got := len(loadState(t, m).Entries); got != 4 {
		t.Fatalf("%d entries before the crash, want 4", got)
	}
	m.Crash()
	want := LoadedState{HardState: raft.HardState{Term: 1}, Entries: entries(1, 2, 1)}
	if diff := cmp.Diff(want, loadState(t, m)); diff != "" {
		t.Fatal(diff)
	}
	jobs, err := m.Archive().List("", 10)
	requireNoError(t, err)
	if len(jobs) != 1 || jobs[0].ID != "kept" {
		t.Fatalf("archive holds %v", jobs)
	}
}

func jobIDs(t *testing.T) func(jobs []record.ArchivedJob, err error) string {
	t.Helper()
	return func(jobs []record.ArchivedJob, err error) string {
		t.Helper()
		requireNoError(t, err)
		var all []string
		for _, job := range jobs {
			all = append(all, job.ID)
		}
		return strings.Join(all, " ")
	}
}

func TestArchive_PutPageListExpire(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		archive := s.Archive()
		jobs := []record.ArchivedJob{
			{ID: "d", Index: 1, EndedAt: 40},
			{ID: "b", Index: 2, EndedAt: 10},
			{ID: "a", Index: 2, EndedAt: 20},
			{ID: "c", Index: 3, EndedAt: 30},
		}
		requireNoError(t, archive.Put(jobs))
		if job, known, err := archive.Get("b"); err != nil || !known || job.EndedAt != 10 {
			t.Fatalf("unsynced job: %v %v %v", job, known, err)
		}
		requireNoError(t, archive.Put(jobs[:2])) // applied again
		requireNoError(t, archive.Sync())
		archive = reopen().Archive()
		expect := func(what, got, want string) {
			t.Helper()
			if got != want {
				t.Fatalf("%s: got %q, want %q", what, got, want)
			}
		}
		expect("first page", jobIDs(t)(archive.Page(0, "", 2)), "d a")
		expect("page after 2/a", jobIDs(t)(archive.Page(2, "a", 9)), "b c")
		expect("last page", jobIDs(t)(archive.Page(3, "c", 9)), "")
		expect("list", jobIDs(t)(archive.List("", 3)), "a b c")
		expect("list after b", jobIDs(t)(archive.List("b", 3)), "c d")
		expired, err := archive.Expire(40, 2)
		requireNoError(t, err)
		if expired != 2 {
			t.Fatalf("expired %d, want 2", expired)
		}
		expect("left", jobIDs(t)(archive.List("", 9)), "c d")
		if _, known, err := archive.Get("b"); err != nil || known {
			t.Fatalf("expired job: known %v, %v", known, err)
		}
	})
}

func BenchmarkDiskSave(b *testing.B) {
	for _, batch := range []uint64{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("batch-%d", batch), func(b *testing.B) {
			d := openStore(b, b.TempDir())
			defer func() { _ = d.Close() }()
			data := make([]byte, 400)
			next := uint64(1)
			for b.Loop() {
				made := make([]raft.Entry, batch)
				for i := range made {
					made[i] = raft.Entry{Index: next, Term: 1, Data: data}
					next++
				}
				requireNoError(b, d.Save(nil, made, true))
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
