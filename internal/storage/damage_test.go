package storage

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

// closeRecordBytes is the length of the record that says that a log was closed in
// order: a header without a payload.
const closeRecordBytes = 26

// TestOpen_AnyFlippedBitDetected: whatever bit of a log that was closed in order
// is wrong, opening fails, or finds all that was saved if the bit is behind that.
func TestOpen_AnyFlippedBitDetected(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, wal.SegmentName(wal.FirstSegment))
	d := openStore(t, directory)
	requireNoError(t, d.Save(&raft.HardState{Term: 1, VotedFor: "b", Commit: 3}, entries(1, 200, 1), true))
	requireNoError(t, d.Save(nil, entries(201, 300, 1), true))
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	used := len(bytes.TrimRight(content, "\x00"))
	requireNoError(t, d.Close())
	id := d.ReplicaID()
	intact, err := os.ReadFile(path)
	requireNoError(t, err)
	d = openStore(t, directory)
	want := loadState(t, d)
	requireNoError(t, d.Close())

	random := rand.New(rand.NewPCG(1, 1))
	for i := range 90 {
		damaged := append([]byte(nil), intact...)
		at := random.IntN(used)
		switch i % 3 {
		case 1: // in the record of closing, or soon behind it
			at = used + random.IntN(2*closeRecordBytes)
		case 2: // in the second batch, which is the last one
			at = used - 1 - random.IntN(1000)
		}
		damaged[at] ^= 1 << random.IntN(8)
		requireNoError(t, os.WriteFile(path, damaged, datafile.FilePermission))
		d, err := OpenDisk(DiskConfig{Directory: directory})
		var loaded LoadedState
		if err == nil {
			loaded, err = d.Load()
			requireNoError(t, d.Close())
		}
		switch {
		case errors.Is(err, ErrCorrupt) && at < used:
		case at < used:
			t.Fatalf("byte %d: got %v, want ErrCorrupt", at, err)
		case err != nil:
			t.Fatalf("byte %d, behind all that was saved: %v", at, err)
		case d.ReplicaID() != id:
			t.Fatalf("byte %d: replica id %s, want %s", at, d.ReplicaID(), id)
		default:
			if diff := cmp.Diff(want, loaded); diff != "" {
				t.Fatalf("byte %d: %s", at, diff)
			}
		}
	}
}
