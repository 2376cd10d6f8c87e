package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// fullDiskRetryInterval is the time between attempts to save to a full disk.
const fullDiskRetryInterval = 100 * time.Millisecond

// saver persists the hard state and entries of a Ready, and measures how long synced
// saves take. It belongs to the loop.
type saver struct {
	store   storage.Store
	metrics *metrics
	logger  *slog.Logger
	// sleep waits between attempts while the disk is full. An error of sleep ends the
	// attempts.
	sleep func(time.Duration) error
	// pacer and slowDisk observe the duration of each synced save.
	pacer    *batchPacer
	slowDisk slowDisk
}

// save persists the hard state and entries of a Ready, and retries while the disk is full.
// During the retries the loop processes nothing else, so this replica neither votes nor
// acknowledges entries, and a leader loses its lease and its leadership. Once there is
// space, the loop continues as after a sync of the same duration.
func (s *saver) save(ready raft.Ready) error {
	startedAt := time.Now()
	err := s.trySave(ready, startedAt)
	if !errors.Is(err, storage.ErrNoSpace) {
		return err
	}
	s.logger.Error("disk full, replica does not participate", "error", err)
	s.metrics.diskFull.Set(1)
	defer s.metrics.diskFull.Set(0)
	for errors.Is(err, storage.ErrNoSpace) {
		if sleepErr := s.sleep(fullDiskRetryInterval); sleepErr != nil {
			return sleepErr
		}
		err = s.trySave(ready, startedAt)
	}
	if err == nil {
		s.logger.Info("disk has space again, replica participates", "after", time.Since(startedAt))
	}
	return err
}

// trySave makes one attempt to save. The duration of a synced save counts from startedAt,
// the start of the first attempt.
func (s *saver) trySave(ready raft.Ready, startedAt time.Time) error {
	if err := s.store.Save(ready.HardState, ready.Entries, ready.MustSync); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	if ready.MustSync {
		s.observe(time.Since(startedAt))
	}
	return nil
}

func (s *saver) observe(duration time.Duration) {
	s.metrics.saveSeconds.Observe(duration.Seconds())
	s.pacer.observeSave(duration)
	s.slowDisk.observeSave(duration)
}
