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

// TestTicker_FollowersSleepUntilElectionDeadline: while heartbeats arrive, time alone
// hardly ever wakes a follower, but it wakes the leader for each heartbeat. Under synctest
// no heartbeat is late, so leadership must not move.
func TestTicker_FollowersSleepUntilElectionDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := newSynctestMachines(t, 3)
		startAll(machines)
		leader := leaderOf(t, machines...)
		term := leader.replica.Status().Term
		ticks := func(m *machine) float64 { return testutil.ToFloat64(m.replica.metrics.tickWakeups) }
		before := make(map[*machine]float64)
		for _, m := range machines {
			before[m] = ticks(m)
		}
		eventually(t, "40 ticks of the leader", func() bool { return ticks(leader)-before[leader] >= 40 })
		if !leader.replica.HoldsLease(term) {
			t.Errorf("%s lost the leadership of term %d, now %+v", leader.name, term, leader.replica.Status())
		}
		for _, m := range without(machines, leader) {
			if woken := ticks(m) - before[m]; woken > 8 {
				t.Errorf("%s: woken %v times while the leader was woken 40 times", m.name, woken)
			}
		}
		t.Logf("leader %v", ticks(leader)-before[leader])
		for _, m := range without(machines, leader) {
			t.Logf("follower %v", ticks(m)-before[m])
		}
	})
}

// stoppingStore has its replica stopped while the first snapshot is saved, and counts the
// synced saves that come after it. One goroutine makes all of them.
type stoppingStore struct {
	*storage.Memory
	stop  context.CancelFunc
	after int
}

func (s *stoppingStore) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	s.stop()
	return s.Memory.SaveSnapshot(meta, keepEntries, write)
}

func (s *stoppingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if sync {
		s.after++
	}
	return s.Memory.Save(hardState, entries, sync)
}

// TestRun_StopBeginsNoFurtherSave: a busy disk may take seconds for each sync, so a stop
// waits for the one in progress only. A single replica would next campaign and save its
// vote.
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
	if ctx.Err() == nil || store.after != 0 {
		t.Errorf("%d synced saves after the stop (%v), want none", store.after, ctx.Err())
	}
}
