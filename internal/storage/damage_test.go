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

// closeRecordBytes is the length of the record that a clean close of the log appends,
// in bytes: a header without a payload.
const closeRecordBytes = 26

// TestOpen_AnyFlippedBitDetected guards against undetected damage: it flips random bits
// in a cleanly closed log. Opening must fail with ErrCorrupt if the bit is in a saved
// record, and must load everything saved if the bit comes after these records.
func TestOpen_AnyFlippedBitDetected(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, wal.SegmentName(wal.FirstSegment))
	d := openStore(t, directory)
	requireNoError(t, d.Save(&raft.HardState{Term: 1, VotedFor: "b", Commit: 3}, testEntries(1, 200, 1), true))
	requireNoError(t, d.Save(nil, testEntries(201, 300, 1), true))
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	savedBytes := len(bytes.TrimRight(content, "\x00"))
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
		offset := random.IntN(savedBytes)
		switch i % 3 {
		case 1: // in the close record, or shortly after it
			offset = savedBytes + random.IntN(2*closeRecordBytes)
		case 2: // in the second and last batch
			offset = savedBytes - 1 - random.IntN(1000)
		}
		damaged[offset] ^= 1 << random.IntN(8)
		requireNoError(t, os.WriteFile(path, damaged, datafile.FilePermission))
		d, err := OpenDisk(DiskConfig{Directory: directory})
		var loaded LoadedState
		if err == nil {
			loaded, err = d.Load()
			requireNoError(t, d.Close())
		}
		switch {
		case errors.Is(err, ErrCorrupt) && offset < savedBytes:
		case offset < savedBytes:
			t.Fatalf("byte %d: got %v, want ErrCorrupt", offset, err)
		case err != nil:
			t.Fatalf("byte %d, after the saved records: got error %v, want nil", offset, err)
		case d.ReplicaID() != id:
			t.Fatalf("byte %d: got replica id %s, want %s", offset, d.ReplicaID(), id)
		default:
			if diff := cmp.Diff(want, loaded); diff != "" {
				t.Fatalf("byte %d: loaded state differs (-want +got):\n%s", offset, diff)
			}
		}
	}
}
