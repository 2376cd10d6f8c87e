package storage

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/wal"
)

// noSpaceSegmentSize is the segment size in bytes. Every few batches need a new segment.
const noSpaceSegmentSize = 4 << 10

// TestSave_FullDiskRejectsThenAcceptsRetry guards against a log that is unusable after
// a full disk. A rejected batch may leave a part of its data in a file. The log must
// accept the batch once there is space, also if the batch needs a new segment, and must
// then hold exactly the acknowledged entries.
func TestSave_FullDiskRejectsThenAcceptsRetry(t *testing.T) {
	for seed := range uint64(40) {
		files := newPowerLossFiles(seed)
		d := newDiskLog(t, files, noSpaceSegmentSize)
		var saved []raft.Entry
		for index := uint64(1); index < 60; index += 3 {
			batch := noSpaceBatch(index)
			for files.diskFull = files.random.IntN(3) == 0; files.diskFull; files.diskFull = files.random.IntN(2) == 0 {
				if err := d.Save(nil, batch, true); !errors.Is(err, ErrNoSpace) {
					t.Fatalf("seed %d: saving entry %d on a full disk: got error %v, want ErrNoSpace", seed, index, err)
				}
			}
			if err := d.Save(nil, batch, true); err != nil {
				t.Fatalf("seed %d: saving entry %d with space again: got error %v, want nil", seed, index, err)
			}
			saved = append(saved, batch...)
		}
		if difference := cmp.Diff(saved, loadLog(t, reopenDiskLog(t, files, noSpaceSegmentSize)).Entries); difference != "" {
			t.Fatalf("seed %d: entries differ (-saved +loaded):\n%s", seed, difference)
		}
	}
}

// TestPowerLoss_FullDiskLosesNoAcknowledgedEntries cuts the power after a full disk has
// rejected a batch. All entries acknowledged before must be found, and the log must
// accept new ones. Entries of the rejected batch may be found, as those of any
// unacknowledged batch.
func TestPowerLoss_FullDiskLosesNoAcknowledgedEntries(t *testing.T) {
	for seed := range uint64(200) {
		files := newPowerLossFiles(seed)
		d := newDiskLog(t, files, noSpaceSegmentSize)
		last := uint64(1 + files.random.IntN(30)*3)
		for index := uint64(1); index < last; index += 3 {
			requireNoError(t, d.Save(nil, noSpaceBatch(index), true))
		}
		files.diskFull = true
		if err := d.Save(nil, noSpaceBatch(last), true); !errors.Is(err, ErrNoSpace) {
			t.Fatalf("seed %d: Save on a full disk: got error %v, want ErrNoSpace", seed, err)
		}
		files.diskFull = false
		files.losePower()
		loaded := loadLog(t, reopenDiskLog(t, files, noSpaceSegmentSize)).Entries
		if uint64(len(loaded)) < last-1 {
			t.Fatalf("seed %d: got %d entries, want at least %d", seed, len(loaded), last-1)
		}
		reopened := reopenDiskLog(t, files, noSpaceSegmentSize)
		requireNoError(t, reopened.Save(nil, noSpaceBatch(uint64(len(loaded))+1), true))
	}
}

// noSpaceBatch returns three entries, the first of which has the given index.
func noSpaceBatch(index uint64) []raft.Entry {
	batch := make([]raft.Entry, 3)
	for i := range batch {
		entryIndex := index + uint64(i)
		batch[i] = raft.Entry{Index: entryIndex, Term: 1, Data: fmt.Appendf(nil, "%0300d", entryIndex)}
	}
	return batch
}

// TestSave_FailedSyncNotReportedAsNoSpace guards against a retry after a failed sync,
// when the content of the file is unknown: ErrNoSpace would allow one.
func TestSave_FailedSyncNotReportedAsNoSpace(t *testing.T) {
	files := newPowerLossFiles(1)
	d := newDiskLog(t, files, wal.DefaultSegmentSize)
	files.failAfter = 1 // the write succeeds, the sync does not
	if err := d.Save(nil, noSpaceBatch(1), true); err == nil || errors.Is(err, ErrNoSpace) {
		t.Fatalf("Save with a failing sync: got %v, want an error other than ErrNoSpace", err)
	}
	files.failAfter = -1
	if err := d.Save(nil, noSpaceBatch(1), true); !errors.Is(err, wal.ErrFailed) {
		t.Errorf("Save after a failed sync: got %v, want ErrFailed", err)
	}
}
