package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica/reconfig"
	"github.com/decklever/decklever/internal/storage"
)

func TestSetZone_ReachesMembership(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leaderOf(t, machines...)
	for _, m := range machines {
		m.replica.SetZone("moved-" + m.name)
	}
	eventually(t, "all replicas know the new zone of every voter", func() bool {
		for _, m := range machines {
			for _, voter := range m.replica.Status().Membership.Voters {
				if voter.Zone != "moved-"+voter.Name {
					return false
				}
			}
		}
		return true
	})
}

// replaceDisk restarts a machine with an empty store and waits until its new replica votes
// in place of the old one, as seen by the other machines.
func replaceDisk(t *testing.T, m *machine, seed int64, others []*machine) {
	t.Helper()
	old := m.replica.self.id
	m.crash()
	m.store = storage.NewMemory(seed)
	m.start()
	for _, other := range others {
		eventually(t, m.name+" replaced on "+other.name, func() bool {
			ids := voterIDs(other)
			status := other.replica.Status()
			return ids[m.replica.self.id] && !ids[old] && len(ids) == 3 && len(status.Membership.Outgoing) == 0
		})
	}
}

func TestMembership_LostDiskReplaced(t *testing.T) {
	for _, snapshotEvery := range []uint64{1_000_000, 20} { // 1,000,000 entries are never reached, so no snapshot follows the first
		t.Run(fmt.Sprintf("snapshot-every-%d", snapshotEvery), func(t *testing.T) {
			machines := newMachines(t, 3)
			for _, m := range machines {
				m.snapshotEvery = snapshotEvery
			}
			startAll(machines)
			names := workerNameRange(100)
			for _, name := range names {
				proposeRegistration(t, name, leaderOf(t, machines...))
			}
			leader := leaderOf(t, machines...)
			archived := record.ArchivedJob{ID: "ended", Index: 2, EndedAt: 1}
			for _, m := range machines {
				if err := m.store.Archive().Put([]record.ArchivedJob{archived}); err != nil {
					t.Fatal(err)
				}
			}
			lost := without(machines, leader)[0]
			replaceDisk(t, lost, 99, without(machines, lost))
			if _, known, err := lost.store.Archive().Get("ended"); err != nil || !known {
				t.Fatalf("archived job on the newcomer: found %v, error %v, want true and no error", known, err)
			}
			// A second replica is lost right after the replacement: a majority
			// requires the vote of the newcomer.
			second := without(machines, lost, leader)[0]
			second.crash()
			remaining := without(machines, second)
			proposeRegistration(t, "zz-after", remaining...)
			want := append(slices.Clone(names), "zz-after")
			for _, m := range remaining {
				if got := workerNames(t, m); !slices.Equal(got, want) {
					t.Fatalf("%s: got %d workers, want %d", m.name, len(got), len(want))
				}
			}
		})
	}
}

// TestMembership_EveryDiskLostInTurn replaces the disks of all machines one after another.
// The last newcomer receives a snapshot whose membership lists none of the current replicas,
// not even the sender of the snapshot.
func TestMembership_EveryDiskLostInTurn(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	proposeRegistration(t, "before", machines...)
	for i, lost := range machines {
		replaceDisk(t, lost, int64(90+i), without(machines, lost))
	}
	for _, m := range machines {
		if got := workerNames(t, m); !slices.Equal(got, []string{"before"}) {
			t.Errorf("%s: got workers %v, want [before]", m.name, got)
		}
	}
}

// TestMembership_StandbyReplacesLostVoter checks that a standby takes the slot of a lost
// voter, and that the lost voter joins again with its old store after it was replaced.
func TestMembership_StandbyReplacesLostVoter(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	eventually(t, "the fourth replica is a learner", func() bool { return isLearner(leader, fourth) })
	proposeRegistration(t, "before", leader)

	lost := without(seeds, leader)[0]
	lost.crash()
	eventually(t, "the fourth replica votes and the membership change is complete", func() bool {
		for _, m := range []*machine{leader, fourth} {
			over := len(m.replica.Status().Membership.Outgoing) == 0
			if !over || !isVoter(m, fourth) || isVoter(m, lost) || len(voterIDs(m)) != 3 {
				return false
			}
		}
		return true
	})
	// A second voter is lost right after: the two remaining voters are a majority.
	second := without(seeds, leader, lost)[0]
	second.crash()
	proposeRegistration(t, "after", leader, fourth)

	lost.start()
	eventually(t, "the lost replica votes again", func() bool {
		now := leaderOf(t, leader, fourth, lost)
		return isVoter(now, lost) && len(voterIDs(now)) == 3
	})
	eventually(t, "the returned replica has both workers", func() bool { return len(workerNames(t, lost)) == 2 })
}

// TestMembership_SurvivesLossOfZone checks that the loss of one zone leaves a majority. Five
// of six machines in three zones vote; the leader's zone, with one or two of the voters, is
// lost.
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
	eventually(t, "five replicas vote and one stands by", func() bool {
		leader = leaderOf(t, machines...)
		membership := leader.replica.Status().Membership
		return len(membership.Voters) == 5 && len(membership.Outgoing) == 0 && len(membership.Learners) == 1
	})
	if spread := reconfig.MeasureZoneSpread(leader.replica.Status().Membership.Voters); spread.OneZoneIsCritical || spread.LargestZone != 2 {
		t.Fatalf("got spread %+v, want no critical zone and at most two voters per zone", spread)
	}
	proposeRegistration(t, "before", leader)
	var surviving []*machine
	for _, m := range machines {
		if m.zone == leader.zone {
			m.crash()
		} else {
			surviving = append(surviving, m)
		}
	}
	proposeRegistration(t, "after", surviving...)
}
