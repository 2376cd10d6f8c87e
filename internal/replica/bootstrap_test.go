package replica

import (
	"testing"
	"time"
)

// TestBootstrap_WaitsForUnreachableSeed guards against three of four seeds that create a
// cluster although the fourth, which may have created one, does not answer.
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

// TestBootstrap_JoinOnlyNeverCreatesCluster checks that an empty replica with JoinOnly
// waits although all seeds are empty, and that the other seeds wait for it.
func TestBootstrap_JoinOnlyNeverCreatesCluster(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	seeds[0].joinOnly = true
	startAll(seeds)
	fourth.start()
	eventually(t, "the other seeds take part in the bootstrap", func() bool {
		return seeds[1].replica.identity.identity().Bootstrapping && !seeds[0].replica.identity.identity().Bootstrapping
	})
	for _, m := range append(seeds, fourth) {
		if m.replica.published.running.Load() {
			t.Fatalf("%s has created a cluster, want it to wait", m.name)
		}
	}
}
