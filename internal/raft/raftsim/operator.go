package raftsim

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// swapRate is the probability that a turn replaces a voter by a learner.
const swapRate = 0.08

// operatorTurn changes the membership as the owner of a leader does: machines
// outside of it join as learners, and a learner replaces the lost voter of the
// same machine.
func (s *simulation) operatorTurn() {
	s.after(s.between(100*time.Millisecond, 250*time.Millisecond), s.operatorTurn)
	leaders := s.believedLeaders()
	if len(leaders) == 0 {
		return
	}
	m := leaders[s.random.IntN(len(leaders))]
	m.do(func(now time.Duration) {
		target, ok := s.wantedMembership(m.node.Status().Membership)
		if !ok {
			return
		}
		if err := m.node.ChangeMembership(now, target); err == nil {
			s.recordEvent(m.index, "change", uint64(len(target.Voters)), uint64(len(target.Learners)), 0)
		}
	})
}

// wantedMembership returns the first change that is due; ok is false if none is.
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
		if lost := s.lostVoterOf(target.Voters, learner.Name); lost >= 0 && s.chance(0.7) {
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
	return s.swap(target)
}

// swap replaces a random voter by a learner. The former voter is not notified, and
// joins again as a learner later.
func (s *simulation) swap(target raft.Membership) (raft.Membership, bool) {
	if s.healed || len(target.Learners) == 0 || s.lostIn(target.Voters) > 0 || !s.chance(swapRate) {
		return raft.Membership{}, false
	}
	target.Voters[s.random.IntN(len(target.Voters))] = target.Learners[0]
	target.Learners = target.Learners[1:]
	return target, true
}

func (s *simulation) lostVoterOf(voters []raft.Member, name string) int {
	return slices.IndexFunc(voters, func(voter raft.Member) bool {
		return voter.Name == name && s.machineOf(voter.ID) == nil
	})
}

func isMember(membership raft.Membership, id raft.ReplicaID) bool {
	return slices.ContainsFunc(slices.Concat(membership.Voters, membership.Learners), func(member raft.Member) bool {
		return member.ID == id
	})
}

// lostIn counts the replicas whose disks are gone.
func (s *simulation) lostIn(members []raft.Member) int {
	lost := 0
	for _, member := range members {
		if s.machineOf(member.ID) == nil {
			lost++
		}
	}
	return lost
}
