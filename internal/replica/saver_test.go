package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// fullStore fails remainingFailures saves with storage.ErrNoSpace before it saves.
type fullStore struct {
	*storage.Memory
	remainingFailures int
}

func (s *fullStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if s.remainingFailures > 0 {
		s.remainingFailures--
		return fmt.Errorf("write: %w", storage.ErrNoSpace)
	}
	return s.Memory.Save(hardState, entries, sync)
}

// newTestSaver returns a saver whose store is full for the first saves, as many as failures
// says. sleep is called between attempts.
func newTestSaver(t *testing.T, failures int, sleep func(*saver) error) *saver {
	t.Helper()
	metrics, err := newMetrics(nil)
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.DiscardHandler)
	s := &saver{
		store:    &fullStore{Memory: storage.NewMemory(1), remainingFailures: failures},
		metrics:  metrics,
		logger:   logger,
		pacer:    &batchPacer{},
		slowDisk: slowDisk{leaseDuration: time.Hour, logger: logger},
	}
	s.sleep = func(time.Duration) error { return sleep(s) }
	return s
}

func TestSaver_RetriesWhileDiskIsFull(t *testing.T) {
	sleeps := 0
	s := newTestSaver(t, 3, func(s *saver) error {
		sleeps++
		if got := testutil.ToFloat64(s.metrics.diskFull); got != 1 {
			t.Errorf("while the disk is full: got disk_full %v, want 1", got)
		}
		return nil
	})
	if err := s.save(raft.Ready{HardState: &raft.HardState{Term: 1}, MustSync: true}); err != nil || sleeps != 3 {
		t.Errorf("got error %v after %d failed attempts, want success after 3", err, sleeps)
	}
	if got := testutil.ToFloat64(s.metrics.diskFull); got != 0 {
		t.Errorf("after the save: got disk_full %v, want 0", got)
	}
	if s.pacer.averageSave == 0 {
		t.Error("the duration of the save was not observed")
	}
}

func TestSaver_StopEndsRetries(t *testing.T) {
	stopped := errors.New("stopped")
	s := newTestSaver(t, 3, func(*saver) error { return stopped })
	if err := s.save(raft.Ready{HardState: &raft.HardState{Term: 1}, MustSync: true}); !errors.Is(err, stopped) {
		t.Errorf("got error %v, want %v", err, stopped)
	}
	if s.pacer.averageSave != 0 {
		t.Error("the duration of a failed save was observed")
	}
}
