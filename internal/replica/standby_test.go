package replica

import (
	"context"
	"testing"
)

// newClusterWithStandby makes three seeds and one machine more, of a cluster with three
// voters.
func newClusterWithStandby(t *testing.T) (seeds []*machine, fourth *machine) {
	t.Helper()
	machines := newMachines(t, 4)
	for _, m := range machines {
		m.seeds = machines[0].seeds[:3]
		m.maxVoters = 3
	}
	machines[3].joinOnly = true
	return machines[:3], machines[3]
}

func isVoter(on, whose *machine) bool { return voterIDs(on)[whose.replica.self.ID] }

func isLearner(on, whose *machine) bool {
	return indexOf(on.replica.Status().Membership.Learners, whose.replica.self.ID) >= 0
}

// TestMembership_StandbyReplacesLostVoter also covers the lost one's return: it was
// replaced while it was away and joins again with the data that it has.
func TestMembership_StandbyReplacesLostVoter(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	eventually(t, "the fourth stands by", func() bool { return isLearner(leader, fourth) })
	proposeRegistration(t, "before", leader)

	lost := without(seeds, leader)[0]
	lost.crash()
	eventually(t, "the fourth votes, and the change is over", func() bool {
		for _, m := range []*machine{leader, fourth} {
			over := len(m.replica.Status().Membership.Outgoing) == 0
			if !over || !isVoter(m, fourth) || isVoter(m, lost) || len(voterIDs(m)) != 3 {
				return false
			}
		}
		return true
	})
	// A second loss right after: the two that are left are a majority.
	second := without(seeds, leader, lost)[0]
	second.crash()
	proposeRegistration(t, "after", leader, fourth)

	lost.start()
	eventually(t, "the lost one is back", func() bool {
		now := leaderOf(t, leader, fourth, lost)
		return isVoter(now, lost) && len(voterIDs(now)) == 3
	})
	eventually(t, "it holds all", func() bool { return len(workerNames(t, lost)) == 2 })
}

// TestPrepareShutdown_StandbyTakesVoterSlot: with one that stands by, a planned stop
// leaves as many voters as before, at once.
func TestPrepareShutdown_StandbyTakesVoterSlot(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	eventually(t, "the fourth stands by", func() bool { return isLearner(leader, fourth) })
	proposeRegistration(t, "before", leader)

	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	leader.replica.PrepareShutdown(ctx)
	left := append(without(seeds, leader), fourth)
	eventually(t, "the fourth has the seat", func() bool {
		now := leaderOf(t, left...)
		return isVoter(now, fourth) && !isVoter(now, leader) && len(voterIDs(now)) == 3
	})
	leader.crash()
	proposeRegistration(t, "after", left...)
}

// TestBootstrap_JoinOnlyNeverCreatesCluster: an empty replica that may only join waits, though all
// seeds are empty as well.
func TestBootstrap_JoinOnlyNeverCreatesCluster(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	seeds[0].joinOnly = true
	startAll(seeds)
	fourth.start()
	eventually(t, "the others wait for it", func() bool {
		return seeds[1].replica.identity().Bootstrapping && !seeds[0].replica.identity().Bootstrapping
	})
	for _, m := range append(seeds, fourth) {
		if m.replica.running.Load() {
			t.Fatalf("%s has formed a cluster", m.name)
		}
	}
}

// TestMembership_SurvivesLossOfZone: six machines in three zones, five of which vote. The
// zone of the leader goes, with two voters or one.
func TestMembership_SurvivesLossOfZone(t *testing.T) {
	machines := newMachines(t, 6)
	for i, m := range machines {
		m.zone = string(rune('a' + i%3))
		m.seeds = machines[0].seeds[:3]
		m.maxVoters = 5
		m.joinOnly = i >= 3
	}
	startAll(machines[:3])
	leader := leaderOf(t, machines[:3]...)
	for _, m := range machines[3:] {
		m.start()
	}
	eventually(t, "five vote and one stands by", func() bool {
		leader = leaderOf(t, machines...)
		membership := leader.replica.Status().Membership
		return len(membership.Voters) == 5 && len(membership.Outgoing) == 0 && len(membership.Learners) == 1
	})
	if weight := measureZoneSpread(leader.replica.Status().Membership.Voters); weight.oneZoneIsCritical || weight.largestZone != 2 {
		t.Fatalf("voters are spread as %+v", weight)
	}
	proposeRegistration(t, "before", leader)
	var left []*machine
	for _, m := range machines {
		if m.zone == leader.zone {
			m.crash()
		} else {
			left = append(left, m)
		}
	}
	proposeRegistration(t, "after", left...)
}
