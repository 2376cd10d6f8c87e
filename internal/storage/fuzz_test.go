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

// FuzzDecodeValue checks that decoding does not panic on any stored value, that a
// rejection names the file, and that a value with a valid checksum is the one that
// encoding its payload under the key gives.
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
			t.Fatalf("value %x has a valid checksum, but its payload does not encode to it", value)
		}
		// An arbitrary payload with a valid checksum.
		checkRejection(t, file, decodeValue(file, key, addChecksum(key, value), &job))
	})
}

// FuzzSegment checks that a replay does not panic on any segment, that a rejection
// names the segment, and that a second replay of an accepted segment, whose torn
// tail the first one truncated, returns the same entries.
func FuzzSegment(f *testing.F) {
	const size = 2048
	files := newPowerLossFiles(1)
	requireNoError(f, wal.Create(logConfig(files, size), "0123456789abcdef"))
	path := filepath.Join(powerLossDirectoryName, wal.SegmentName(wal.FirstSegment))
	log, _, err := wal.Open(logConfig(files, size))
	requireNoError(f, err)
	requireNoError(f, log.Append(wal.Batch{HardState: &raft.HardState{Term: 1, VotedFor: "a"}, Entries: testEntries(1, 3, 1)}, true))
	f.Add(files.content(path))
	requireNoError(f, log.Append(wal.Batch{Entries: testEntries(3, 4, 2)}, true))
	requireNoError(f, log.Close())
	f.Add(files.content(path))
	f.Add(files.content(path)[:300])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		files := newPowerLossFiles(1)
		files.addDurableFile(path, content)
		log, firstRead, err := wal.Open(logConfig(files, size))
		checkRejection(t, path, err)
		if err != nil {
			return
		}
		_, secondRead, err := wal.Open(logConfig(files, size))
		requireNoError(t, err)
		if diff := cmp.Diff(firstRead, secondRead); diff != "" {
			t.Fatalf("second replay differs after the tail was truncated: %s", diff)
		}
		_ = log.Close()
	})
}

// checkRejection fails the test if err is neither nil nor an ErrCorrupt that names
// the file.
func checkRejection(t *testing.T, file string, err error) {
	t.Helper()
	if err != nil && (!errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), file)) {
		t.Fatalf("got error %q, want an ErrCorrupt that names the file", err)
	}
}

// FuzzSnapshotFile checks that reading does not panic on any snapshot file, that a
// rejection names the file, and that a valid snapshot that is written again reads
// the same.
func FuzzSnapshotFile(f *testing.F) {
	meta := raft.SnapshotMeta{Index: 9, Term: 2, Membership: raft.Membership{Voters: []raft.Member{{ID: "a", Name: "control-1"}}}}
	for _, content := range []string{"", "what the record wrote"} {
		var file bytes.Buffer
		requireNoError(f, writeSnapshotTo(&file, meta, writeText(content)))
		f.Add(file.Bytes())
		f.Add(file.Bytes()[:file.Len()-1])
	}
	oversizedMeta := binary.BigEndian.AppendUint32([]byte(snapshotMagic), 1<<32-1)
	f.Add(append(oversizedMeta, make([]byte, 64)...))
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
		rereadMeta, rereadData, rereadFound, err := readSnapshotFile(datafile.OS{}, directory)
		requireNoError(t, err)
		if diff := cmp.Diff(meta, rereadMeta); !found || !rereadFound || diff != "" || !bytes.Equal(data, rereadData) {
			t.Fatalf("snapshot differs after it was written again: %s", diff)
		}
	})
}
