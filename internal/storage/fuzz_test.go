package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
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

// FuzzDecodeValue holds that no stored value panics, that a rejection names the
// file, and that a valid one is one that was encoded under its key.
func FuzzDecodeValue(f *testing.F) {
	key := []byte("job-7")
	stored, err := encodeValue(key, record.ArchivedJob{ID: "job-7", Index: 3, EndedAt: 9})
	requireNoError(f, err)
	f.Add(key, stored)
	f.Add(key, addChecksum(key, nil))
	f.Add([]byte{}, []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, key, value []byte) {
		const file = "folder/archive.db"
		var job record.ArchivedJob
		checkRejection(t, file, decodeValue(file, key, value, &job))
		payload, err := verifyChecksum(file, key, value)
		checkRejection(t, file, err)
		if err == nil && !bytes.Equal(addChecksum(key, payload), value) {
			t.Fatalf("%x is valid, but is not what is stored", value)
		}
		// A payload with a valid checksum, whatever is in it.
		checkRejection(t, file, decodeValue(file, key, addChecksum(key, value), &job))
	})
}

// FuzzSegment holds that no segment makes a replay panic, that one is rejected by
// its name, and that what a replay accepts it accepts again, the same.
func FuzzSegment(f *testing.F) {
	const size = 2048
	files := newPowerLossFiles(1)
	requireNoError(f, wal.Create(logConfig(files, size), "0123456789abcdef"))
	path := filepath.Join(powerLossDirectoryName, wal.SegmentName(wal.FirstSegment))
	log, _, err := wal.Open(logConfig(files, size))
	requireNoError(f, err)
	requireNoError(f, log.Append(wal.Batch{HardState: &raft.HardState{Term: 1, VotedFor: "a"}, Entries: entries(1, 3, 1)}, true))
	f.Add(files.content(path))
	requireNoError(f, log.Append(wal.Batch{Entries: entries(3, 4, 2)}, true))
	requireNoError(f, log.Close())
	f.Add(files.content(path))
	f.Add(files.content(path)[:300])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		files := newPowerLossFiles(1)
		files.put(path, content)
		log, held, err := wal.Open(logConfig(files, size))
		checkRejection(t, path, err)
		if err != nil {
			return
		}
		_, again, err := wal.Open(logConfig(files, size))
		requireNoError(t, err)
		if diff := cmp.Diff(held, again); diff != "" {
			t.Fatalf("reads differently once its end was truncated: %s", diff)
		}
		_ = log.Close()
	})
}

func checkRejection(t *testing.T, file string, err error) {
	t.Helper()
	if err != nil && (!errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), file)) {
		t.Fatalf("rejected with %q, want ErrCorrupt and the file", err)
	}
}

// FuzzSnapshotFile holds that no snapshot file panics, that a rejection names
// the file, and that a valid one reads the same once written again.
func FuzzSnapshotFile(f *testing.F) {
	meta := raft.SnapshotMeta{Index: 9, Term: 2, Membership: raft.Membership{Voters: []raft.Member{{ID: "a", Name: "control-1"}}}}
	for _, content := range []string{"", "what the record wrote"} {
		var file bytes.Buffer
		requireNoError(f, writeSnapshotTo(&file, meta, writeText(content)))
		f.Add(file.Bytes())
		f.Add(file.Bytes()[:file.Len()-1])
	}
	long := binary.BigEndian.AppendUint32([]byte(snapshotMagic), 1<<32-1)
	f.Add(append(long, make([]byte, 64)...))
	directory := f.TempDir()
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(directory, snapshotFile)
		requireNoError(t, os.WriteFile(path, content, datafile.FilePermission))
		meta, data, found, err := readSnapshotFile(datafile.OS{}, directory)
		checkRejection(t, path, err)
		if err != nil {
			return
		}
		requireNoError(t, writeSnapshotFile(datafile.OS{}, directory, meta, writeText(string(data))))
		again, dataAgain, foundAgain, err := readSnapshotFile(datafile.OS{}, directory)
		requireNoError(t, err)
		if diff := cmp.Diff(meta, again); !found || !foundAgain || diff != "" || !bytes.Equal(data, dataAgain) {
			t.Fatalf("reads differently after it was written: %s", diff)
		}
	})
}
