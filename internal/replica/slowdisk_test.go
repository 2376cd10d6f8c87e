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

// slowStore is a store whose synced saves take long. No save ends while hangs is locked.
type slowStore struct {
	*storage.Memory
	syncTakes atomic.Int64 // nanoseconds
	hangs     sync.Mutex
}

func (s *slowStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	s.hangs.Lock()
	defer s.hangs.Unlock()
	if sync {
		time.Sleep(time.Duration(s.syncTakes.Load()))
	}
	return s.Memory.Save(hardState, entries, sync)
}

func slowMachines(t *testing.T) ([]*machine, map[*machine]*slowStore) {
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

// TestSlowDisk_LeaderTransfersLeadership: syncs that take as long as a lease, but less than
// an election timeout, cause no election; the leader itself transfers its leadership.
func TestSlowDisk_LeaderTransfersLeadership(t *testing.T) {
	machines, stores := slowMachines(t)
	leader := leaderOf(t, machines...)
	proposeRegistration(t, "before", leader)
	stores[leader].syncTakes.Store(int64(raft.DefaultLeaseDuration + 20*time.Millisecond))
	defer stores[leader].syncTakes.Store(0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, _ = leader.replica.Propose(ctx, leader.replica.Status().Term, registration("slow"))
	next := leaderOf(t, without(machines, leader)...)
	proposeRegistration(t, "after", next)
}

// TestStalledDisk_LeaderLosesLease: a sync that does not end costs the lease, and
// neither callers nor the other replicas wait for it.
func TestStalledDisk_LeaderLosesLease(t *testing.T) {
	machines, stores := slowMachines(t)
	leader := leaderOf(t, machines...)
	proposeRegistration(t, "before", leader)
	token := leader.replica.Status().Term
	stores[leader].hangs.Lock()
	release := sync.OnceFunc(stores[leader].hangs.Unlock)
	defer release()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := leader.replica.Propose(ctx, token, registration("stalled")); err == nil {
		// The others may commit it without the leader's disk, but the leader
		// cannot know while it writes.
		t.Fatal("a command was acknowledged by a leader whose disk stalls")
	}
	next := leaderOf(t, without(machines, leader)...)
	if leader.replica.HoldsLease(token) {
		t.Fatal("the stalled leader claims the lease beside a new one")
	}
	leader.replica.Record().Read(func(record.View) {}) // does not wait
	proposeRegistration(t, "after", next)
	release()
	eventually(t, "the old leader follows", func() bool {
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
			t.Errorf("%s: transfers %v, want %v", step.name, got, step.want)
		}
	}
	if disk.takeTransfer(time.Hour, true) {
		t.Error("transfers without a new slow save")
	}
}
