package replica

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

// TestTicker_FollowersSleepUntilElectionDeadline guards against followers that wake at every
// tick: while heartbeats arrive, the ticker must hardly ever wake a follower, but it wakes
// the leader for each heartbeat. Under synctest no heartbeat is late, so the leader must not
// change.
func TestTicker_FollowersSleepUntilElectionDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := newSynctestMachines(t, 3)
		startAll(machines)
		leader := leaderOf(t, machines...)
		term := leader.replica.Status().Term
		wakeups := func(m *machine) float64 { return testutil.ToFloat64(m.replica.metrics.tickWakeups) }
		before := make(map[*machine]float64)
		for _, m := range machines {
			before[m] = wakeups(m)
		}
		eventually(t, "40 ticks of the leader", func() bool { return wakeups(leader)-before[leader] >= 40 })
		if !leader.replica.HoldsLease(term) {
			t.Errorf("%s no longer holds the lease of term %d: status %+v", leader.name, term, leader.replica.Status())
		}
		for _, m := range without(machines, leader) {
			if count := wakeups(m) - before[m]; count > 8 {
				t.Errorf("%s: ticker woke the follower %v times during 40 wakeups of the leader, want at most 8", m.name, count)
			}
		}
		t.Logf("leader: %v wakeups", wakeups(leader)-before[leader])
		for _, m := range without(machines, leader) {
			t.Logf("follower: %v wakeups", wakeups(m)-before[m])
		}
	})
}

// stoppingStore stops its replica while the first snapshot is saved, and counts the synced
// saves after that. All saves are made by one goroutine.
type stoppingStore struct {
	*storage.Memory
	stop           context.CancelFunc
	savesAfterStop int
}

func (s *stoppingStore) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	s.stop()
	return s.Memory.SaveSnapshot(meta, keepEntries, write)
}

func (s *stoppingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if sync {
		s.savesAfterStop++
	}
	return s.Memory.Save(hardState, entries, sync)
}

// TestRun_StopBeginsNoFurtherSave guards against a stop that begins another save: a busy
// disk may take seconds for each sync, so a stop may wait only for the one in progress.
// Without the stop, a single replica would next campaign and save its vote.
func TestRun_StopBeginsNoFurtherSave(t *testing.T) {
	m := newMachines(t, 1)[0]
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	store := &stoppingStore{Memory: storage.NewMemory(1), stop: stop}
	m.store = store
	client := rpc.NewClient(rpc.ClientConfig{})
	defer client.Close()
	if err := m.newReplica(client).Run(ctx); err != nil {
		t.Fatal(err)
	}
	if ctx.Err() == nil || store.savesAfterStop != 0 {
		t.Errorf("%d synced saves after the stop (context error %v), want 0 after a cancellation", store.savesAfterStop, ctx.Err())
	}
}
