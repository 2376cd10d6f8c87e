package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// countingStore is a slowStore that counts its synced saves.
type countingStore struct {
	slowStore
	mutex sync.Mutex
	syncs int
}

func (s *countingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if sync {
		s.mutex.Lock()
		s.syncs++
		s.mutex.Unlock()
	}
	return s.slowStore.Save(hardState, entries, sync)
}

func (s *countingStore) syncCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.syncs
}

// TestPropose_SteadyProposalsShareSyncs guards against one sync per proposal under a steady
// load, which would keep the disk always busy. Successive proposals must share batches, so
// that the disk is idle for about as long as it syncs, and none may be delayed for long. A
// proposal after a pause must not be delayed at all.
func TestPropose_SteadyProposalsShareSyncs(t *testing.T) {
	const (
		syncTakes = 4 * time.Millisecond
		duration  = 2 * time.Second
		// maxSyncs allows one sync per two sync durations, and a few more at the
		// beginning and the end. maxProposalTime covers the batch delay, the sync in
		// progress, the proposal's own sync and a follower's.
		maxSyncs        = 260
		maxProposalTime = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		machines := newSynctestMachines(t, 3)
		stores := make(map[*machine]*countingStore)
		for i, m := range machines {
			stores[m] = &countingStore{slowStore: slowStore{Memory: storage.NewMemory(int64(i + 1))}}
			stores[m].syncDelay.Store(int64(syncTakes))
			m.store = stores[m]
		}
		startAll(machines)
		leader := leaderOf(t, machines...)
		proposeRegistration(t, "first", leader)
		before := stores[leader].syncCount()
		slowest := proposeSteadily(t, leader, duration)
		syncs := stores[leader].syncCount() - before
		t.Logf("%d syncs, slowest proposal %v", syncs, slowest)
		if syncs > maxSyncs {
			t.Errorf("%d syncs in %v, want at most %d", syncs, duration, maxSyncs)
		}
		if slowest > maxProposalTime {
			t.Errorf("slowest proposal took %v, want at most %v", slowest, maxProposalTime)
		}
		time.Sleep(time.Second)
		start := time.Now()
		proposeRegistration(t, "after a pause", leader)
		if took := time.Since(start); took > 3*syncTakes {
			t.Errorf("proposal after a pause took %v, want at most three sync durations", took)
		}
	})
}

// proposeSteadily proposes a command every millisecond, and returns the duration of the
// slowest proposal.
func proposeSteadily(t *testing.T, leader *machine, duration time.Duration) time.Duration {
	t.Helper()
	token := leader.replica.Status().Term
	var mutex sync.Mutex
	var slowest time.Duration
	var running sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
		running.Go(func() {
			start := time.Now()
			if _, err := leader.replica.Propose(t.Context(), token, registration("steady")); err != nil {
				t.Errorf("propose: %v", err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			slowest = max(slowest, time.Since(start))
		})
	}
	running.Wait()
	return slowest
}
