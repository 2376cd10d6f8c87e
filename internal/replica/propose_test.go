package replica

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestPropose_WithoutQuorumNotAcknowledged(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	for _, m := range without(machines, leader) {
		m.crash()
	}
	_, err := leader.replica.Propose(t.Context(), token, registration("maybe"))
	if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("got %v, want ErrOutcomeUnknown, or ErrNotLeader after stepping down", err)
	}
	eventually(t, "the lease ends", func() bool { return !leader.replica.HoldsLease(token) })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := leader.replica.ReadBarrier(ctx); err == nil {
		t.Fatal("read barrier succeeded without a quorum")
	}
}

// BenchmarkPropose commits commands with three replicas on disk. "many" runs parallel
// proposers, whose commands share syncs; "one" runs one proposer that waits for each
// command.
func BenchmarkPropose(b *testing.B) {
	machines := newMachines(b, 3)
	for _, m := range machines {
		m.useDisk(b.TempDir())
		m.snapshotEvery = 10_000
	}
	startAll(machines)
	leader := leaderOf(b, machines...)
	token := leader.replica.Status().Term
	propose := func(b *testing.B) {
		b.Helper()
		if _, err := leader.replica.Propose(b.Context(), token, registration("worker")); err != nil {
			b.Error(err)
		}
	}
	b.Run("many", func(b *testing.B) {
		b.SetParallelism(64)
		b.RunParallel(func(run *testing.PB) {
			for run.Next() {
				propose(b)
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	})
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			propose(b)
		}
	})
}
