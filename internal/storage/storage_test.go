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

// testEntries returns the entries from index first to last, of one term.
func testEntries(first, last, term uint64) []raft.Entry {
	var created []raft.Entry
	for index := first; index <= last; index++ {
		created = append(created, raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry-%d-of-term-%d", index, term)})
	}
	return created
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

// forEachStore runs a test on a Disk and a Memory store; reopen returns a store on
// the same data, after a Close of Disk or a Crash of Memory.
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

func TestStore_RoundTripWithOverwrittenSuffix(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		id := s.ReplicaID()
		if len(id) != 16 || strings.Trim(string(id), "0123456789abcdef") != "" {
			t.Fatalf("got replica id %q, want 16 hex digits", id)
		}
		if !s.Empty() {
			t.Fatal("got a new store that is not empty")
		}
		hardState := raft.HardState{Term: 2, VotedFor: id, Commit: 1}
		requireNoError(t, s.Save(&hardState, testEntries(1, 5, 1), true))
		requireNoError(t, s.Save(nil, testEntries(3, 4, 2), true))
		s = reopen()
		if s.ReplicaID() != id || s.Empty() {
			t.Fatalf("after reopening: got replica id %q and empty %v, want the same id and false", s.ReplicaID(), s.Empty())
		}
		want := LoadedState{HardState: hardState, Entries: append(testEntries(1, 2, 1), testEntries(3, 4, 2)...)}
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
		requireNoError(t, s.Save(&raft.HardState{Term: 1}, testEntries(1, 10, 1), true))
		requireNoError(t, s.SaveSnapshot(meta, 3, writeText("state at 8")))

		failingWrite := func(w io.Writer) error { _, _ = io.WriteString(w, "half"); return errors.New("write failed") }
		if err := s.SaveSnapshot(raft.SnapshotMeta{Index: 9, Term: 1}, 0, failingWrite); err == nil {
			t.Fatal("saving a snapshot whose content cannot be written: got no error")
		}
		s = reopen()
		want := LoadedState{HardState: raft.HardState{Term: 1}, Snapshot: meta, SnapshotData: []byte("state at 8"), Entries: testEntries(6, 10, 1)}
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
			t.Fatalf("got snapshot %v with content %q and meta %+v, want the installed one", ok, content, gotMeta)
		}
		requireNoError(t, s.SaveSnapshot(raft.SnapshotMeta{Index: 9, Term: 1}, 0, writeText("late"))) // ignored, because it is older than the installed snapshot
		requireNoError(t, s.Save(nil, testEntries(51, 52, 3), true))
		if got := len(loadState(t, reopen()).Entries); got != 2 {
			t.Fatalf("got %d entries after the installed snapshot, want 2", got)
		}
	})
}

// TestInstallSnapshot_InterruptedDropsLog covers a power loss after the snapshot file
// was replaced and before the snapshot record was appended: Load completes the
// installation and drops the log.
func TestInstallSnapshot_InterruptedDropsLog(t *testing.T) {
	directory := t.TempDir()
	d := openStore(t, directory)
	requireNoError(t, d.Save(&raft.HardState{Term: 1, Commit: 2}, testEntries(1, 3, 1), true))
	meta := raft.SnapshotMeta{Index: 40, Term: 2}
	requireNoError(t, writeSnapshotFile(datafile.OS{}, directory, meta, writeText("state")))
	requireNoError(t, d.Close())
	d = openStore(t, directory)
	if loaded := loadState(t, d); len(loaded.Entries) != 0 || loaded.Snapshot.Index != 40 {
		t.Fatalf("got %d entries and snapshot index %d, want 0 and 40", len(loaded.Entries), loaded.Snapshot.Index)
	}
	requireNoError(t, d.Save(nil, testEntries(41, 41, 2), true))
	if got := len(loadState(t, d).Entries); got != 1 {
		t.Fatalf("got %d entries, want 1", got)
	}
	requireNoError(t, d.Close())
}

// TestInstallSnapshot_WithinLogDropsAllEntries checks that a snapshot from the leader
// also replaces the log entries after the snapshot's index: the leader does not have
// them.
func TestInstallSnapshot_WithinLogDropsAllEntries(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		requireNoError(t, s.Save(&raft.HardState{Term: 1}, testEntries(1, 10, 1), true))
		meta := raft.SnapshotMeta{Index: 5, Term: 2}
		requireNoError(t, s.InstallSnapshot(meta, strings.NewReader("state at 5")))
		s = reopen()
		want := LoadedState{HardState: raft.HardState{Term: 1}, Snapshot: meta, SnapshotData: []byte("state at 5")}
		if diff := cmp.Diff(want, loadState(t, s)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// flipByte inverts the lowest bit of the last byte of each occurrence of text in a
// file.
func flipByte(t *testing.T, path, text string) {
	t.Helper()
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	found := false
	for start := 0; ; {
		offset := strings.Index(string(content[start:]), text)
		if offset < 0 {
			break
		}
		found = true
		content[start+offset+len(text)-1] ^= 1
		start += offset + len(text)
	}
	if !found {
		t.Fatalf("text %q not found in %s", text, path)
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
		"entry":            {logFile, flipIn(logFile, "entry-9-of-term-1")},
		"replica id":       {logFile, flipReplicaID},
		"snapshot data":    {snapshotFile, flipIn(snapshotFile, "state at 8")},
		"snapshot meta":    {snapshotFile, flipIn(snapshotFile, "machine-one")},
		"snapshot short":   {snapshotFile, truncate(snapshotFile, 90)},
		"log shortened":    {logFile, truncate(logFile, 8192)},
		"log minus a byte": {logFile, truncate(logFile, wal.DefaultSegmentSize-1)},
		"log cut at 300":   {logFile, truncate(logFile, 300)},
		"log too long":     {logFile, truncate(logFile, wal.DefaultSegmentSize+1)},
		"log empty":        {logFile, truncate(logFile, 0)},
		"log missing":      {logFile, remove(logFile)},
		"snapshot missing": {snapshotFile, remove(snapshotFile)},
		"archive missing":  {archiveFile, remove(archiveFile)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			d := openStore(t, directory)
			requireNoError(t, d.Save(&raft.HardState{Term: 1, VotedFor: "b"}, testEntries(1, 10, 1), true))
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
				t.Fatalf("got %v, want an ErrCorrupt that names %s", err, c.file)
			}
		})
	}
}

func TestLoad_GapsRejected(t *testing.T) {
	d := openStore(t, t.TempDir())
	defer func() { _ = d.Close() }()
	requireNoError(t, d.Save(nil, testEntries(2, 3, 1), true))
	if _, err := d.Load(); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("log that starts at 2: got %v, want ErrCorrupt", err)
	}
	requireNoError(t, d.Save(nil, testEntries(1, 2, 1), true))
	requireNoError(t, d.Save(nil, testEntries(5, 6, 1), true))
	if _, err := d.Load(); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("log without entries 3 and 4: got %v, want ErrCorrupt", err)
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
	requireNoError(t, m.Save(&raft.HardState{Term: 1}, testEntries(1, 2, 1), true))
	requireNoError(t, m.Save(&raft.HardState{Term: 1, Commit: 2}, testEntries(3, 4, 1), false))
	requireNoError(t, m.Archive().Put([]record.ArchivedJob{{ID: "kept"}}))
	requireNoError(t, m.Archive().Sync())
	requireNoError(t, m.Archive().Put([]record.ArchivedJob{{ID: "lost"}}))
	if got := len(loadState(t, m).Entries); got != 4 {
		t.Fatalf("got %d entries before the crash, want 4", got)
	}
	m.Crash()
	want := LoadedState{HardState: raft.HardState{Term: 1}, Entries: testEntries(1, 2, 1)}
	if diff := cmp.Diff(want, loadState(t, m)); diff != "" {
		t.Fatal(diff)
	}
	jobs, err := m.Archive().List("", 10)
	requireNoError(t, err)
	if len(jobs) != 1 || jobs[0].ID != "kept" {
		t.Fatalf("got archived jobs %v, want only the synced one", jobs)
	}
}

// jobIDs returns a function that joins the ids of jobs by spaces and requires that
// err is nil.
func jobIDs(t *testing.T) func(jobs []record.ArchivedJob, err error) string {
	t.Helper()
	return func(jobs []record.ArchivedJob, err error) string {
		t.Helper()
		requireNoError(t, err)
		var ids []string
		for _, job := range jobs {
			ids = append(ids, job.ID)
		}
		return strings.Join(ids, " ")
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
			t.Fatalf("unsynced job: got %v, known %v, error %v, want the job with end 10", job, known, err)
		}
		requireNoError(t, archive.Put(jobs[:2])) // repeated, as when the log is applied again
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
			t.Fatalf("got %d expired jobs, want 2", expired)
		}
		expect("remaining", jobIDs(t)(archive.List("", 9)), "c d")
		if _, known, err := archive.Get("b"); err != nil || known {
			t.Fatalf("expired job: got known %v, error %v, want false and no error", known, err)
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
				newEntries := make([]raft.Entry, batch)
				for i := range newEntries {
					newEntries[i] = raft.Entry{Index: next, Term: 1, Data: data}
					next++
				}
				requireNoError(b, d.Save(nil, newEntries, true))
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
