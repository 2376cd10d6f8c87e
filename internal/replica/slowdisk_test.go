package replica

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// slowStore is a store whose synced saves take syncDelay longer. No save returns while
// stallMutex is locked.
type slowStore struct {
	*storage.Memory
	syncDelay  atomic.Int64 // nanoseconds
	stallMutex sync.Mutex
}

func (s *slowStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	s.stallMutex.Lock()
	defer s.stallMutex.Unlock()
	if sync {
		time.Sleep(time.Duration(s.syncDelay.Load()))
	}
	return s.Memory.Save(hardState, entries, sync)
}

// startSlowMachines starts three machines and returns the slowStore of each.
func startSlowMachines(t *testing.T) ([]*machine, map[*machine]*slowStore) {
	t.Helper()
	machines := newMachines(t, 3)
	stores := make(map[*machine]*slowStore)
	for i, m := range machines {
		stores[m] = &slowStore{Memory: storage.NewMemory(int64(i + 1))}
		m.store = stores[m]
	}
	startAll(machines)
	return machines, stores
}

// TestSlowDisk_LeaderTransfersLeadership guards against a leader that stays on a slow disk.
// Syncs that take longer than the lease, but less than the election timeout, cause no
// election, so the leader itself must transfer its leadership.
func TestSlowDisk_LeaderTransfersLeadership(t *testing.T) {
	machines, stores := startSlowMachines(t)
	leader := leaderOf(t, machines...)
	proposeRegistration(t, "before", leader)
	stores[leader].syncDelay.Store(int64(raft.DefaultLeaseDuration + 20*time.Millisecond))
	defer stores[leader].syncDelay.Store(0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, _ = leader.replica.Propose(ctx, leader.replica.Status().Term, registration("slow"))
	next := leaderOf(t, without(machines, leader)...)
	proposeRegistration(t, "after", next)
}

// TestStalledDisk_LeaderLosesLease checks that a leader loses its lease while a sync
// stalls, and that neither callers nor other replicas wait for the sync.
func TestStalledDisk_LeaderLosesLease(t *testing.T) {
	machines, stores := startSlowMachines(t)
	leader := leaderOf(t, machines...)
	proposeRegistration(t, "before", leader)
	token := leader.replica.Status().Term
	stores[leader].stallMutex.Lock()
	release := sync.OnceFunc(stores[leader].stallMutex.Unlock)
	defer release()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := leader.replica.Propose(ctx, token, registration("stalled")); err == nil {
		// The followers may commit the command without the leader's disk, but the
		// leader cannot learn that while its save stalls.
		t.Fatal("the leader acknowledged a command while its disk stalled, want an error")
	}
	next := leaderOf(t, without(machines, leader)...)
	if leader.replica.HoldsLease(token) {
		t.Fatal("the stalled leader still claims its lease although there is a new leader")
	}
	leader.replica.Record().Read(func(record.View) {}) // the stalled save must not block reads of the record
	proposeRegistration(t, "after", next)
	release()
	eventually(t, "the old leader is a follower", func() bool {
		status := leader.replica.Status()
		return status.Role == raft.RoleFollower && status.Leader != ""
	})
}

func TestSlowDisk_TransferOncePerInterval(t *testing.T) {
	const lease = 100 * time.Millisecond
	disk := slowDisk{leaseDuration: lease, logger: slog.New(slog.DiscardHandler)}
	steps := []struct {
		name    string
		took    time.Duration
		now     time.Duration
		leading bool
		want    bool
	}{
		{"fast save", lease - 1, time.Second, true, false},
		{"slow save of a follower", lease, time.Second, false, false},
		{"slow save of the leader", lease, time.Second, true, true},
		{"again too soon", lease, time.Second + slowDiskTransferInterval - 1, true, false},
		{"again later", lease, time.Second + slowDiskTransferInterval, true, true},
	}
	for _, step := range steps {
		disk.observeSave(step.took)
		if got := disk.takeTransfer(step.now, step.leading); got != step.want {
			t.Errorf("%s: got transfer %v, want %v", step.name, got, step.want)
		}
	}
	if disk.takeTransfer(time.Hour, true) {
		t.Error("got a leadership transfer without another slow save, want none")
	}
}
