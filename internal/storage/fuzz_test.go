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
)

// FuzzUnseal holds that no sealed value panics, that a refusal names the file,
// and that a value which checks is one that was sealed under its key.
func FuzzUnseal(f *testing.F) {
	key := []byte("job-7")
	stored, err := encodeValue(key, record.ArchivedJob{ID: "job-7", Index: 3, EndedAt: 9})
	requireNoError(f, err)
	f.Add(key, stored)
	f.Add(key, addChecksum(key, nil))
	f.Add([]byte{}, []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, key, value []byte) {
		const file = "folder/archive.db"
		var job record.ArchivedJob
		checkRefusal(t, file, decodeValue(file, key, value, &job))
		payload, err := verifyChecksum(file, key, value)
		checkRefusal(t, file, err)
		if err == nil && !bytes.Equal(addChecksum(key, payload), value) {
			t.Fatalf("%x checks, but is not what is sealed", value)
		}
		// A payload that checks, whatever is in it.
		checkRefusal(t, file, decodeValue(file, key, addChecksum(key, value), &job))
	})
}

// FuzzRecord holds that no bytes panic the decoder, and that a record which
// checks is one that is encoded the same.
func FuzzRecord(f *testing.F) {
	state := raft.HardState{Term: 3, VotedFor: "a", Commit: 1}
	batch := walBatch{hardState: &state, entries: entries(1, 2, 3), closed: true}
	f.Add(batch.encode(nil, 4, 3))
	snapshot, err := newSnapshotBatch(snapshotRecord{Index: 5, Term: 1, FirstIndex: 3, FirstSegment: 2})
	requireNoError(f, err)
	f.Add(snapshot.encode(nil, 1, 0))
	f.Add(make([]byte, recordHeaderSize))
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, content []byte) {
		found, size, ok := decodeRecord(content)
		if ok {
			again, start := beginRecord(nil)
			again = append(again, found.Payload...)
			endRecord(again, start, found)
			if !bytes.Equal(again, content[:size]) {
				t.Fatalf("%x checks, but is encoded as %x", content[:size], again)
			}
			if state, ok := decodeHardState(found.Payload); ok && !bytes.Equal(appendHardState(nil, state), found.Payload) {
				t.Fatalf("hard state %+v is not encoded the same", state)
			}
			if entry, ok := decodeEntry(found.Payload); ok && !bytes.Equal(appendEntry(nil, &entry), found.Payload) {
				t.Fatalf("entry %+v is not encoded the same", entry)
			}
		}
		provesSynced(content, 1)
	})
}

// FuzzSegment holds that no segment panics a start, that one is refused with
// its name, and that what a start accepts it accepts again, the same.
func FuzzSegment(f *testing.F) {
	const size = 2048
	files := newPowerFiles(1)
	requireNoError(f, createLog(files, "d", "0123456789abcdef", size))
	path := filepath.Join("d", segmentName(firstSegment))
	log, _, err := openLog(files, "d", discard(), size, []uint64{firstSegment})
	requireNoError(f, err)
	requireNoError(f, log.append(walBatch{hardState: &raft.HardState{Term: 1, VotedFor: "a"}, entries: entries(1, 3, 1)}, true))
	f.Add(files.content(path))
	requireNoError(f, log.append(walBatch{entries: entries(3, 4, 2)}, true))
	requireNoError(f, log.close())
	f.Add(files.content(path))
	f.Add(files.content(path)[:300])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		files := newPowerFiles(1)
		files.put(path, content)
		log, held, err := openLog(files, "d", discard(), size, []uint64{firstSegment})
		checkRefusal(t, path, err)
		if err != nil {
			return
		}
		_, again, err := openLog(files, "d", discard(), size, []uint64{firstSegment})
		requireNoError(t, err)
		if diff := cmp.Diff(held, again); diff != "" {
			t.Fatalf("reads differently once its end was cut: %s", diff)
		}
		_ = log.close()
	})
}

func checkRefusal(t *testing.T, file string, err error) {
	t.Helper()
	if err != nil && (!errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), file)) {
		t.Fatalf("refused with %q, want ErrCorrupt and the file", err)
	}
}

// FuzzSnapshotFile holds that no snapshot file panics, that a refusal names the
// file, and that one which checks reads the same once written again.
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
		requireNoError(t, os.WriteFile(path, content, filePermission))
		meta, data, found, err := readSnapshotFile(systemFiles{}, directory)
		checkRefusal(t, path, err)
		if err != nil {
			return
		}
		requireNoError(t, writeSnapshotFile(systemFiles{}, directory, meta, writeText(string(data))))
		again, dataAgain, foundAgain, err := readSnapshotFile(systemFiles{}, directory)
		requireNoError(t, err)
		if diff := cmp.Diff(meta, again); !found || !foundAgain || diff != "" || !bytes.Equal(data, dataAgain) {
			t.Fatalf("reads differently after it was written: %s", diff)
		}
	})
}
