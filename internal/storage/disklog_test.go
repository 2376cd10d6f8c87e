package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

// logConfig returns the configuration of a log in the given file system.
func logConfig(files datafile.FileSystem, segmentSize int64) wal.Config {
	return wal.Config{Files: files, Directory: powerLossDirectoryName, Logger: discardLogger(), SegmentSize: segmentSize}
}

// newDiskLog creates a log in the given file system and opens it.
func newDiskLog(t testing.TB, files datafile.FileSystem, segmentSize int64) *diskLog {
	t.Helper()
	requireNoError(t, wal.Create(logConfig(files, segmentSize), "0123456789abcdef"))
	return reopenDiskLog(t, files, segmentSize)
}

func reopenDiskLog(t testing.TB, files datafile.FileSystem, segmentSize int64) *diskLog {
	t.Helper()
	d, err := openDiskLog(logConfig(files, segmentSize))
	requireNoError(t, err)
	return d
}

// TestSave_OneWriteAndOneSync counts the writes and syncs of Save: at most one of
// each, whatever is saved, and none if nothing changed.
func TestSave_OneWriteAndOneSync(t *testing.T) {
	files := newPowerLossFiles(1)
	d := newDiskLog(t, files, wal.DefaultSegmentSize)
	state := raft.HardState{Term: 1, VotedFor: "a"}
	committed := raft.HardState{Term: 1, VotedFor: "a", Commit: 256}
	for _, step := range []struct {
		what          string
		hardState     *raft.HardState
		entries       []raft.Entry
		sync          bool
		writes, syncs int
	}{
		{"a vote", &state, nil, true, 1, 1},
		{"the same vote", &state, nil, true, 0, 0},
		{"nothing", nil, nil, true, 0, 0},
		{"entries", nil, testEntries(1, 1, 1), true, 1, 1},
		{"entries and hard state", &committed, testEntries(2, 256, 1), true, 1, 1},
		{"the commit index alone", &raft.HardState{Term: 1, VotedFor: "a", Commit: 300}, nil, false, 0, 0},
		{"a sync of the pending commit index", nil, nil, true, 1, 1},
		{"unsynced entries", nil, testEntries(257, 260, 1), false, 1, 0},
		{"a sync", nil, nil, true, 0, 1},
		{"a vote without the sync flag", &raft.HardState{Term: 2, VotedFor: "b", Commit: 300}, nil, false, 1, 1},
	} {
		writes, syncs, directorySyncs := files.writes, files.syncs, files.directorySyncs
		requireNoError(t, d.Save(step.hardState, step.entries, step.sync))
		if files.writes-writes != step.writes || files.syncs-syncs != step.syncs || files.directorySyncs != directorySyncs {
			t.Errorf("%s: got %d writes, %d syncs and %d directory syncs, want %d, %d and 0", step.what,
				files.writes-writes, files.syncs-syncs, files.directorySyncs-directorySyncs, step.writes, step.syncs)
		}
	}
}

// TestSaveSnapshot_RemovesSegments checks that snapshots keep the length of the log
// bounded, and that the entries to retain for lagging followers are still stored.
func TestSaveSnapshot_RemovesSegments(t *testing.T) {
	const size, batch, retainEntries = 64 << 10, 20, 5
	files := newPowerLossFiles(1)
	d := newDiskLog(t, files, size)
	data := make([]byte, 1000)
	for index := uint64(1); index < 20_000; index += batch {
		newEntries := make([]raft.Entry, batch)
		for i := range newEntries {
			newEntries[i] = raft.Entry{Index: index + uint64(i), Term: 1, Data: data}
		}
		requireNoError(t, d.Save(nil, newEntries, true))
		if index/batch%10 == 0 { // after about three segments
			requireNoError(t, d.SaveSnapshot(raft.SnapshotMeta{Index: index + 9, Term: 1}, retainEntries, writeText("state")))
			if bytes := files.totalBytes(); bytes > 3*size {
				t.Fatalf("got %d bytes after the snapshot at index %d, want at most three segments", bytes, index+9)
			}
		}
	}
	d = reopenDiskLog(t, files, size)
	loaded, err := d.Load()
	requireNoError(t, err)
	if first := loaded.Entries[0].Index; first != loaded.Snapshot.Index-retainEntries+1 {
		t.Fatalf("got a log that starts at %d with a snapshot at %d, want the retained entries up to the snapshot", first, loaded.Snapshot.Index)
	}
}

// TestSaveSnapshot_RetainedBytesBounded guards against a log that grows without
// bound because the number of entries to retain is large and the entries are long:
// their total length is bounded as well.
func TestSaveSnapshot_RetainedBytesBounded(t *testing.T) {
	const size = 64 << 10
	files := newPowerLossFiles(1)
	d := newDiskLog(t, files, size)
	for index := uint64(1); index <= 40; index++ {
		requireNoError(t, d.Save(nil, []raft.Entry{{Index: index, Term: 1, Data: make([]byte, size)}}, true))
	}
	requireNoError(t, d.SaveSnapshot(raft.SnapshotMeta{Index: 40, Term: 1}, 2000, writeText("state")))
	if bytes := files.totalBytes(); bytes > (maxRetainedSegments+1)*size {
		t.Fatalf("got %d bytes after the snapshot, want at most maxRetainedSegments and one more segment", bytes)
	}
	if loaded := loadLog(t, reopenDiskLog(t, files, size)); loaded.Snapshot.Index != 40 || len(loaded.Entries) > 1 {
		t.Fatalf("got snapshot index %d and %d entries, want 40 and at most 1", loaded.Snapshot.Index, len(loaded.Entries))
	}
}

func loadLog(t *testing.T, d *diskLog) LoadedState {
	t.Helper()
	loaded, err := d.Load()
	requireNoError(t, err)
	return loaded
}

// TestSave_RejectedAfterFailedWrite checks that Save fails after an earlier write or
// sync has failed: the content of the file is unknown, so nothing more may be
// acknowledged.
func TestSave_RejectedAfterFailedWrite(t *testing.T) {
	for failAfter := range 2 { // 0 fails the write, 1 the sync
		files := newPowerLossFiles(1)
		d := newDiskLog(t, files, wal.DefaultSegmentSize)
		requireNoError(t, d.Save(&raft.HardState{Term: 1}, testEntries(1, 3, 1), true))
		files.failAfter = failAfter
		if err := d.Save(nil, testEntries(4, 5, 1), true); !errors.Is(err, errPowerOff) {
			t.Fatalf("got %v, want %v", err, errPowerOff)
		}
		files.failAfter = -1
		if err := d.Save(nil, testEntries(4, 5, 1), true); !errors.Is(err, wal.ErrFailed) {
			t.Fatalf("save after a failed one: got %v, want %v", err, wal.ErrFailed)
		}
		if err := d.close(); err != nil {
			t.Fatalf("close: %v", err)
		}
		files.loseAllUnsynced()
		want := LoadedState{HardState: raft.HardState{Term: 1}, Entries: testEntries(1, 3, 1)}
		if diff := cmp.Diff(want, loadLog(t, reopenDiskLog(t, files, wal.DefaultSegmentSize))); diff != "" {
			t.Fatal(diff)
		}
	}
}

// TestOpen_CreationIsAtomic checks that a power loss at any step of a log's creation
// leaves either no log or a complete one.
func TestOpen_CreationIsAtomic(t *testing.T) {
	for seed := range uint64(300) {
		files := newPowerLossFiles(seed)
		files.failAfter = int(seed % 8)
		err := wal.Create(logConfig(files, powerLossSegmentSize), "0123456789abcdef")
		files.losePower()
		numbers, listErr := wal.SegmentNumbers(files, powerLossDirectoryName)
		requireNoError(t, listErr)
		if len(numbers) == 0 {
			if err == nil {
				t.Fatalf("seed %d: the log was created, but no segment exists after the power loss", seed)
			}
			requireNoError(t, wal.Create(logConfig(files, powerLossSegmentSize), "0123456789abcdef"))
		}
		d := reopenDiskLog(t, files, powerLossSegmentSize)
		if !d.Empty() || d.ReplicaID() != "0123456789abcdef" {
			t.Fatalf("seed %d: got empty %v and replica id %s, want an empty log with the id that it was created with", seed, d.Empty(), d.ReplicaID())
		}
	}
}

// TestOpen_DamagedSegmentNamed checks that a missing or damaged segment before the
// newest one is rejected with an error that names it, wherever the damage is.
func TestOpen_DamagedSegmentNamed(t *testing.T) {
	files := newPowerLossFiles(1)
	d := newDiskLog(t, files, powerLossSegmentSize)
	for index := uint64(1); index <= 200; index += 4 {
		requireNoError(t, d.Save(nil, testEntries(index, index+3, 1), true))
	}
	requireNoError(t, d.close())
	numbers, err := wal.SegmentNumbers(files, powerLossDirectoryName)
	requireNoError(t, err)
	if len(numbers) < 4 {
		t.Fatalf("got %d segments, want at least 4", len(numbers))
	}
	path := filepath.Join(powerLossDirectoryName, wal.SegmentName(2))
	intact := files.content(path)
	requireRejected := func(what string) {
		t.Helper()
		_, _, err := wal.Open(logConfig(files, powerLossSegmentSize))
		if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), path) {
			t.Fatalf("%s: got %v, want an ErrCorrupt that names %s", what, err, path)
		}
	}
	for offset := range powerLossSegmentSize {
		damaged := append([]byte(nil), intact...)
		damaged[offset] ^= 4
		files.addDurableFile(path, damaged)
		requireRejected(fmt.Sprintf("flipped byte %d", offset))
	}
	files.addDurableFile(path, intact[:len(intact)-1])
	requireRejected("truncated")
	files.addDurableFile(path, make([]byte, len(intact)))
	requireRejected("zeros")
	requireNoError(t, files.Remove(path))
	requireRejected("missing")
}

// TestOpen_EarlierFormatRejected checks that a directory of an earlier version, which
// has a bbolt log, is rejected with ErrEarlierFormat, and that no log is created in
// it.
func TestOpen_EarlierFormatRejected(t *testing.T) {
	directory := t.TempDir()
	for _, name := range []string{earlierLogFile, archiveFile, snapshotFile} {
		requireNoError(t, os.WriteFile(filepath.Join(directory, name), []byte("earlier"), datafile.FilePermission))
	}
	_, err := OpenDisk(DiskConfig{Directory: directory})
	if !errors.Is(err, ErrEarlierFormat) || !strings.Contains(err.Error(), earlierLogFile) {
		t.Fatalf("got %v, want an ErrEarlierFormat that names %s", err, earlierLogFile)
	}
	if _, err := os.Stat(filepath.Join(directory, wal.SegmentName(wal.FirstSegment))); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("stat of a new log next to the earlier one: got %v, want fs.ErrNotExist", err)
	}
}

// TestOpen_RecreatesMissingArchiveOfEmptyStore checks that a store opens if a power
// loss undid the renaming of the archive before anything was saved.
func TestOpen_RecreatesMissingArchiveOfEmptyStore(t *testing.T) {
	directory := t.TempDir()
	requireNoError(t, openStore(t, directory).Close())
	requireNoError(t, os.Remove(filepath.Join(directory, archiveFile)))
	d := openStore(t, directory)
	requireNoError(t, d.Save(&raft.HardState{Term: 1}, nil, true))
	requireNoError(t, d.Close())
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
