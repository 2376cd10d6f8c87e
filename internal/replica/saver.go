package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// fullDiskRetryInterval is the pause before a save to a full disk is tried again.
const fullDiskRetryInterval = 100 * time.Millisecond

// saver persists what a Ready brings, and observes how long that takes. It belongs to
// the loop.
type saver struct {
	store   storage.Store
	metrics *metrics
	logger  *slog.Logger
	// sleep lets time pass between attempts while the disk is full. Its error ends
	// them.
	sleep func(time.Duration) error
	// pacer and slowDisk get the duration of each synced save.
	pacer    *batchPacer
	slowDisk slowDisk
}

// save persists hard state and entries. While the disk is full it tries again and
// again. The loop processes nothing meanwhile, so that this replica neither votes nor
// counts for a commit, and as a leader loses its lease and its leadership. It goes on
// once there is space, as after a sync that took as long.
func (s *saver) save(ready raft.Ready) error {
	began := time.Now()
	err := s.trySave(ready, began)
	if !errors.Is(err, storage.ErrNoSpace) {
		return err
	}
	s.logger.Error("disk full, replica does not participate", "error", err)
	s.metrics.diskFull.Set(1)
	defer s.metrics.diskFull.Set(0)
	for errors.Is(err, storage.ErrNoSpace) {
		if stopped := s.sleep(fullDiskRetryInterval); stopped != nil {
			return stopped
		}
		err = s.trySave(ready, began)
	}
	if err == nil {
		s.logger.Info("disk has space again, replica participates", "after", time.Since(began))
	}
	return err
}

func (s *saver) trySave(ready raft.Ready, began time.Time) error {
	if err := s.store.Save(ready.HardState, ready.Entries, ready.MustSync); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	if ready.MustSync {
		s.observe(time.Since(began))
	}
	return nil
}

func (s *saver) observe(took time.Duration) {
	s.metrics.saveSeconds.Observe(took.Seconds())
	s.pacer.observeSave(took)
	s.slowDisk.observeSave(took)
}
