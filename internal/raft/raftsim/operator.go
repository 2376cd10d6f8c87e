package raftsim

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// swapRate is the probability that a voter is replaced by a learner when no other
// membership change is due.
const swapRate = 0.08

// proposeMembershipChange proposes a membership change at a random believed leader,
// as the owner of a leader does, and schedules the next call in 100 to 250 ms.
// Machines outside the membership join as learners, and a learner replaces the lost
// voter of the same machine.
func (s *simulation) proposeMembershipChange() {
	s.after(s.randomDuration(100*time.Millisecond, 250*time.Millisecond), s.proposeMembershipChange)
	leaders := s.believedLeaders()
	if len(leaders) == 0 {
		return
	}
	m := leaders[s.random.IntN(len(leaders))]
	m.runOrQueue(func(now time.Duration) {
		target, ok := s.wantedMembership(m.node.Status().Membership)
		if !ok {
			return
		}
		if err := m.node.ChangeMembership(now, target); err == nil {
			s.recordEvent(m.index, "change", uint64(len(target.Voters)), uint64(len(target.Learners)), 0)
		}
	})
}

// wantedMembership returns the target of the first change that is due: removal of a
// lost learner, replacement of a lost voter, addition of a learner, or a random
// swap. It returns false if no change is due or the current membership is joint.
func (s *simulation) wantedMembership(current raft.Membership) (raft.Membership, bool) {
	if len(current.Outgoing) > 0 {
		return raft.Membership{}, false
	}
	target := raft.Membership{Voters: slices.Clone(current.Voters), Learners: slices.Clone(current.Learners)}
	for i, learner := range target.Learners {
		if s.machineOf(learner.ID) == nil {
			target.Learners = slices.Delete(target.Learners, i, i+1)
			return target, true
		}
	}
	for i, learner := range target.Learners {
		if lost := s.indexOfLostVoter(target.Voters, learner.Name); lost >= 0 && s.chance(0.7) {
			target.Voters[lost] = learner
			target.Learners = slices.Delete(target.Learners, i, i+1)
			return target, true
		}
	}
	for _, m := range s.machines {
		if m.up && !isMember(current, m.id) {
			target.Learners = append(target.Learners, m.member())
			return target, true
		}
	}
	return s.swapRandomVoter(target)
}

// swapRandomVoter returns the target with a random voter replaced by the first
// learner, or false if there is no learner, a voter is lost, the simulation is
// healed or the draw fails. The former voter is not notified, and joins again as a
// learner later.
func (s *simulation) swapRandomVoter(target raft.Membership) (raft.Membership, bool) {
	if s.healed || len(target.Learners) == 0 || s.countLost(target.Voters) > 0 || !s.chance(swapRate) {
		return raft.Membership{}, false
	}
	target.Voters[s.random.IntN(len(target.Voters))] = target.Learners[0]
	target.Learners = target.Learners[1:]
	return target, true
}

// indexOfLostVoter returns the index of the voter on the named machine whose disk is
// lost, or -1.
func (s *simulation) indexOfLostVoter(voters []raft.Member, name string) int {
	return slices.IndexFunc(voters, func(voter raft.Member) bool {
		return voter.Name == name && s.machineOf(voter.ID) == nil
	})
}

// isMember reports whether the replica is a voter or a learner of the membership.
func isMember(membership raft.Membership, id raft.ReplicaID) bool {
	return slices.ContainsFunc(slices.Concat(membership.Voters, membership.Learners), func(member raft.Member) bool {
		return member.ID == id
	})
}

// countLost returns the number of members whose disks are lost.
func (s *simulation) countLost(members []raft.Member) int {
	lost := 0
	for _, member := range members {
		if s.machineOf(member.ID) == nil {
			lost++
		}
	}
	return lost
}
