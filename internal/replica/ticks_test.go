package replica

import (
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestTicker_FollowersSleepUntilElectionDeadline: while a leader is heard, time alone
// hardly ever wakes a follower, but it wakes the leader for each heartbeat. In
// the bubble no heartbeat is late, so nothing excuses a move of the lead.
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
			t.Errorf("%s lost the lead of term %d, now %+v", leader.name, term, leader.replica.Status())
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
