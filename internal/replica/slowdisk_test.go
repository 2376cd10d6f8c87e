package replica

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// slowStore is a store on a disk whose syncs take long, or never end while it
// hangs.
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
// an election timeout, do not make others elect; the leader itself gives up.
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

// TestSnapshot_TakenForLongEntries: the log is bounded by bytes as well.
func TestSnapshot_TakenForLongEntries(t *testing.T) {
	machines := newMachines(t, 1)
	m := machines[0]
	m.useDisk(t.TempDir())
	m.start()
	leader := leaderOf(t, m)
	long := strings.Repeat("x", 256<<10)
	for i := range 80 { // 20 MiB, over the default bound twice
		proposeRegistration(t, fmt.Sprint(long, i%2), leader)
	}
	eventually(t, "a second snapshot", func() bool {
		meta, data, ok, err := m.store.OpenSnapshot()
		if err != nil || !ok {
			return false
		}
		_ = data.Close()
		return meta.Index > 40
	})
}
