package storage

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/wal"
)

// noSpaceSegment is so short that most batches need a new segment.
const noSpaceSegment = 4 << 10

// TestSave_FullDiskRejectsThenAcceptsRetry: whatever a full disk leaves of a batch, the
// log accepts it once there is space, also where it needs a new segment, and has
// just what was acknowledged.
func TestSave_FullDiskRejectsThenAcceptsRetry(t *testing.T) {
	for seed := range uint64(40) {
		files := newPowerLossFiles(seed)
		d := newDiskLog(t, files, noSpaceSegment)
		var saved []raft.Entry
		for index := uint64(1); index < 60; index += 3 {
			batch := noSpaceBatch(index)
			for files.full = files.random.IntN(3) == 0; files.full; files.full = files.random.IntN(2) == 0 {
				if err := d.Save(nil, batch, true); !errors.Is(err, ErrNoSpace) {
					t.Fatalf("seed %d: a full disk took entry %d: %v", seed, index, err)
				}
			}
			if err := d.Save(nil, batch, true); err != nil {
				t.Fatalf("seed %d: entry %d was rejected though there is space: %v", seed, index, err)
			}
			saved = append(saved, batch...)
		}
		if difference := cmp.Diff(saved, loadLog(t, reopenDiskLog(t, files, noSpaceSegment)).Entries); difference != "" {
			t.Fatalf("seed %d: %s", seed, difference)
		}
	}
}

// TestPowerLoss_OnFullDisk: what was acknowledged before is there, and nothing of the
// batch that was rejected comes back as more than an unacknowledged one may.
func TestPowerLoss_OnFullDisk(t *testing.T) {
	for seed := range uint64(200) {
		files := newPowerLossFiles(seed)
		d := newDiskLog(t, files, noSpaceSegment)
		last := uint64(1 + files.random.IntN(30)*3)
		for index := uint64(1); index < last; index += 3 {
			requireNoError(t, d.Save(nil, noSpaceBatch(index), true))
		}
		files.full = true
		if err := d.Save(nil, noSpaceBatch(last), true); !errors.Is(err, ErrNoSpace) {
			t.Fatalf("seed %d: %v", seed, err)
		}
		files.full = false
		files.losePower()
		held := loadLog(t, reopenDiskLog(t, files, noSpaceSegment)).Entries
		if uint64(len(held)) < last-1 {
			t.Fatalf("seed %d: %d entries are there of %d", seed, len(held), last-1)
		}
		reopened := reopenDiskLog(t, files, noSpaceSegment)
		requireNoError(t, reopened.Save(nil, noSpaceBatch(uint64(len(held))+1), true))
	}
}

// noSpaceBatch is three entries from an index on.
func noSpaceBatch(index uint64) []raft.Entry {
	batch := make([]raft.Entry, 3)
	for i := range batch {
		at := index + uint64(i)
		batch[i] = raft.Entry{Index: at, Term: 1, Data: fmt.Appendf(nil, "%0300d", at)}
	}
	return batch
}

// TestSave_FailedSyncIsNotNoSpace: what the file holds after it is unknown.
func TestSave_FailedSyncIsNotNoSpace(t *testing.T) {
	files := newPowerLossFiles(1)
	d := newDiskLog(t, files, wal.DefaultSegmentSize)
	files.failAfter = 1 // the write succeeds, the sync does not
	if err := d.Save(nil, noSpaceBatch(1), true); err == nil || errors.Is(err, ErrNoSpace) {
		t.Fatalf("after a failed sync: %v", err)
	}
	files.failAfter = -1
	if err := d.Save(nil, noSpaceBatch(1), true); !errors.Is(err, wal.ErrFailed) {
		t.Errorf("saved on after a failed sync: %v", err)
	}
}
