package storage

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
)

// noRoomSegment is so short that most batches need a new segment.
const noRoomSegment = 4 << 10

// TestSave_FullDiskRejectsThenAcceptsRetry: whatever a full disk leaves of a batch, the
// log goes on with it once there is room, also where it needs a new segment, and holds
// just what was acknowledged.
func TestSave_FullDiskRejectsThenAcceptsRetry(t *testing.T) {
	for seed := range uint64(40) {
		files := newPowerFiles(seed)
		d := newDiskLog(t, files, noRoomSegment)
		var saved []raft.Entry
		for index := uint64(1); index < 60; index += 3 {
			batch := noSpaceBatch(index)
			for files.full = files.random.IntN(3) == 0; files.full; files.full = files.random.IntN(2) == 0 {
				if err := d.Save(nil, batch, true); !errors.Is(err, ErrNoSpace) {
					t.Fatalf("seed %d: a full disk took entry %d: %v", seed, index, err)
				}
			}
			if err := d.Save(nil, batch, true); err != nil {
				t.Fatalf("seed %d: entry %d was refused though there is room: %v", seed, index, err)
			}
			saved = append(saved, batch...)
		}
		if difference := cmp.Diff(saved, loadLog(t, reopenDiskLog(t, files, noRoomSegment)).Entries); difference != "" {
			t.Fatalf("seed %d: %s", seed, difference)
		}
	}
}

// TestPowerLoss_OnFullDisk: what was acknowledged before is there, and nothing of the
// batch that was refused comes back as more than an unacknowledged one may.
func TestPowerLoss_OnFullDisk(t *testing.T) {
	for seed := range uint64(200) {
		files := newPowerFiles(seed)
		d := newDiskLog(t, files, noRoomSegment)
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
		held := loadLog(t, reopenDiskLog(t, files, noRoomSegment)).Entries
		if uint64(len(held)) < last-1 {
			t.Fatalf("seed %d: %d entries are there of %d", seed, len(held), last-1)
		}
		reopened := reopenDiskLog(t, files, noRoomSegment)
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
	files := newPowerFiles(1)
	d := newDiskLog(t, files, defaultSegmentSize)
	files.failAfter = 1 // the write succeeds, the sync does not
	if err := d.Save(nil, noSpaceBatch(1), true); err == nil || errors.Is(err, ErrNoSpace) {
		t.Fatalf("after a failed sync: %v", err)
	}
	files.failAfter = -1
	if err := d.Save(nil, noSpaceBatch(1), true); !errors.Is(err, errFailed) {
		t.Errorf("saved on after a failed sync: %v", err)
	}
}
