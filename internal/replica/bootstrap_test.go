package replica

import (
	"testing"
	"time"
)

func TestBootstrap_WaitsForUnreachableSeed(t *testing.T) {
	machines := newMachines(t, 4)
	startAll(machines[:3])
	proposed := func(m *machine) bool { return len(m.replica.identity.identity().Membership.Voters) > 0 }
	for range 5 {
		time.Sleep(bootstrapInterval)
		for _, m := range machines[:3] {
			if proposed(m) || !m.store.Empty() || m.replica.published.running.Load() {
				t.Fatalf("%s did not wait for the fourth seed", m.name)
			}
		}
	}
	machines[3].start()
	leaderOf(t, machines...)
	for _, m := range machines {
		eventually(t, "four voters on "+m.name, func() bool { return len(voterIDs(m)) == 4 })
	}
}

// TestBootstrap_JoinOnlyNeverCreatesCluster: an empty replica that may only join waits,
// though all seeds are empty as well.
func TestBootstrap_JoinOnlyNeverCreatesCluster(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	seeds[0].joinOnly = true
	startAll(seeds)
	fourth.start()
	eventually(t, "the others wait for it", func() bool {
		return seeds[1].replica.identity.identity().Bootstrapping && !seeds[0].replica.identity.identity().Bootstrapping
	})
	for _, m := range append(seeds, fourth) {
		if m.replica.published.running.Load() {
			t.Fatalf("%s has formed a cluster", m.name)
		}
	}
}
