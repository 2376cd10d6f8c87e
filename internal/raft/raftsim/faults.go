package raftsim

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// nextFault injects one fault of the run's scenario and schedules the next, until
// the simulation is healed.
func (s *simulation) nextFault() {
	if s.healed {
		return
	}
	switch s.options.scenario {
	case scenarioVoterRestarts:
		s.restartVoterRepeatedly()
		s.after(s.randomDuration(2*time.Second, 4*time.Second), s.nextFault)
	case scenarioLateTransfers:
		s.delayTimeoutNow()
		s.transferLeadership()
		s.after(maxTimeoutNowDelay, s.nextFault)
	default:
		s.mixedFault()
	}
}

// mixedFault injects a random fault of any kind. The numbers are percentages,
// cumulative.
func (s *simulation) mixedFault() {
	s.after(s.randomDuration(50*time.Millisecond, 1200*time.Millisecond), s.nextFault)
	m := s.faultTarget()
	switch draw := s.random.IntN(100); {
	case draw < 14:
		m.crash(s.randomDuration(50*time.Millisecond, 5*time.Second))
	case draw < 26:
		s.restartRepeatedly(m)
	case draw < 38:
		m.freeze(s.freezeDuration())
	case draw < 48:
		s.isolate(m)
	case draw < 64:
		s.partitionPair(m)
	case draw < 72:
		s.loseDisk(m)
	case draw < 83:
		if s.chance(0.4) {
			s.delayTimeoutNow()
		}
		s.transferLeadership()
	case draw < 89:
		s.restartVoterRepeatedly()
	default:
		s.changeLinkQuality()
	}
}

// faultTarget returns the machine for the next fault: a believed leader with
// probability 0.4, otherwise any machine.
func (s *simulation) faultTarget() *machine {
	if leaders := s.believedLeaders(); len(leaders) > 0 && s.chance(0.4) {
		return leaders[s.random.IntN(len(leaders))]
	}
	return s.machines[s.random.IntN(len(s.machines))]
}

// freezeDuration returns a random duration: mostly up to 3 s, and sometimes longer
// than the time in which faults are injected.
func (s *simulation) freezeDuration() time.Duration {
	if s.chance(0.2) {
		return s.randomDuration(time.Second, 25*time.Second)
	}
	return s.randomDuration(300*time.Millisecond, 3*time.Second)
}

// restartRepeatedly restarts a machine one to four times with at most 50 ms of
// downtime each: a restarted voter may have forgotten the heartbeats that it
// answered.
func (s *simulation) restartRepeatedly(m *machine) {
	m.crash(s.randomDuration(time.Millisecond, 50*time.Millisecond))
	for i := range s.random.IntN(4) {
		s.after(time.Duration(i+1)*s.randomDuration(100*time.Millisecond, 400*time.Millisecond), func() {
			if !s.healed {
				m.crash(s.randomDuration(time.Millisecond, 50*time.Millisecond))
			}
		})
	}
}

// restartVoterRepeatedly keeps restarting a voter while a follower is partitioned
// from the leader and no proposals are made, so that any log may win an election.
// If the voter ignored the heartbeats that it answered before a restart, the
// follower would be elected too early. In half of the calls the leader restarts as
// well and messages are slow: if the voter then forgot its vote, two candidates
// could be elected in one term.
func (s *simulation) restartVoterRepeatedly() {
	leaders := s.believedLeaders()
	if len(leaders) == 0 {
		return
	}
	leader := leaders[s.random.IntN(len(leaders))]
	order := s.random.Perm(len(s.machines))
	order = slices.DeleteFunc(order, func(i int) bool { return i == leader.index })
	candidate, voter := s.machines[order[0]], s.machines[order[1]]
	duration := s.randomDuration(2*time.Second, 4*time.Second)
	s.pauseProposals(duration)
	s.partitionLink(leader.index, candidate.index, duration)
	s.partitionLink(candidate.index, leader.index, duration)
	s.network.delayRate = 0
	if s.chance(0.5) {
		s.network.delayRate = 0.6
		leader.crash(s.randomDuration(10*time.Millisecond, 300*time.Millisecond))
	}
	for at := time.Duration(0); at < duration; at += s.randomDuration(60*time.Millisecond, 200*time.Millisecond) {
		s.after(at, func() {
			if !s.healed {
				voter.crash(s.randomDuration(time.Millisecond, 20*time.Millisecond))
			}
		})
	}
}

// isolate partitions a machine from all others, in one or both directions.
func (s *simulation) isolate(m *machine) {
	incoming := s.chance(0.7)
	outgoing := !incoming || s.chance(0.7)
	duration := s.randomDuration(200*time.Millisecond, 4*time.Second)
	if incoming {
		s.partitionIncoming(m, duration)
	}
	if outgoing {
		for _, other := range s.machines {
			s.partitionLink(m.index, other.index, duration)
		}
	}
}

// partitionIncoming blocks the links from all other machines to m.
func (s *simulation) partitionIncoming(m *machine, duration time.Duration) {
	for _, other := range s.machines {
		s.partitionLink(other.index, m.index, duration)
	}
}

// partitionPair blocks the links between m and a random machine, in one or both
// directions. It does nothing if the random machine is m.
func (s *simulation) partitionPair(m *machine) {
	other := s.machines[s.random.IntN(len(s.machines))]
	duration := s.randomDuration(200*time.Millisecond, 5*time.Second)
	s.partitionLink(m.index, other.index, duration)
	if s.chance(0.6) {
		s.partitionLink(other.index, m.index, duration)
	}
}

// partitionLink blocks the link from one machine to another in that direction.
func (s *simulation) partitionLink(from, to int, duration time.Duration) {
	if from == to {
		return
	}
	s.recordEvent(from, "partition", uint64(to), uint64(duration), 0)
	s.network.partitions[from][to]++
	s.after(duration, func() {
		if !s.healed {
			s.network.partitions[from][to]--
		}
	})
}

// changeLinkQuality draws new rates of lost, duplicated and delayed messages.
func (s *simulation) changeLinkQuality() {
	s.network.dropRate = s.random.Float64() * s.random.Float64() * 0.4
	s.network.duplicateRate = s.random.Float64() * 0.1
	s.network.delayRate = s.random.Float64() * s.random.Float64() * 0.4
}

// delayTimeoutNow delays each TimeoutNow that is sent before delayTimeoutNowUntil, so
// that the leadership transfer fails and the message arrives after another election.
// It pauses proposals, so that the target's log is still up to date enough to win an
// election when the message arrives.
func (s *simulation) delayTimeoutNow() {
	s.network.delayTimeoutNowUntil = s.now + electionTimeoutMax + electionTimeoutMin
	s.pauseProposals(maxTimeoutNowDelay)
}

// transferLeadership starts a leadership transfer at each believed leader, to any
// voter or to a random machine.
func (s *simulation) transferLeadership() {
	for _, m := range s.believedLeaders() {
		if s.options.scenario == scenarioMixed && s.chance(0.4) {
			// The old leader does not learn of the new one.
			s.partitionIncoming(m, s.randomDuration(300*time.Millisecond, 2*time.Second))
		}
		target := raft.ReplicaID("")
		if s.chance(0.5) {
			target = s.machines[s.random.IntN(len(s.machines))].id
		}
		m.runOrQueue(func(now time.Duration) {
			if m.node.TransferLeadership(now, target) == nil {
				s.report.Transfers++
				s.recordEvent(m.index, "transfer", m.status.Term, 0, 0)
			}
		})
	}
}

// loseDisk loses the disk of m, if canLoseDisk allows it.
func (s *simulation) loseDisk(m *machine) {
	if s.canLoseDisk(m.id) {
		m.loseDisk(s.randomDuration(50*time.Millisecond, 2*time.Second))
	}
}

// loseSecondDisk loses the disk of a random machine right after the replacement of
// another was complete, if canLoseDisk allows it.
func (s *simulation) loseSecondDisk() {
	m := s.machines[s.random.IntN(len(s.machines))]
	if s.healed || !s.canLoseDisk(m.id) {
		return
	}
	s.report.SecondLosses++
	m.loseDisk(s.randomDuration(50*time.Millisecond, 2*time.Second))
}

// canLoseDisk reports whether every voter set that may elect or commit keeps a
// majority of its disks without the replica: the voter sets of the newest applied
// membership, and of the newest membership in the log of each running voter or
// learner of it. A replicated log cannot survive the loss of more disks.
func (s *simulation) canLoseDisk(id raft.ReplicaID) bool {
	if !s.retainsMajority(s.checker.membership, id) {
		return false
	}
	for _, m := range s.machines {
		if m.up && isMember(s.checker.membership, m.id) && !s.retainsMajority(m.status.Membership, id) {
			return false
		}
	}
	return true
}

// retainsMajority reports whether each voter set of the membership keeps a majority
// of its disks without the replica.
func (s *simulation) retainsMajority(membership raft.Membership, id raft.ReplicaID) bool {
	return s.retainsMajorityOf(membership.Voters, id) && s.retainsMajorityOf(membership.Outgoing, id)
}

func (s *simulation) retainsMajorityOf(voters []raft.Member, id raft.ReplicaID) bool {
	votes := slices.ContainsFunc(voters, func(voter raft.Member) bool { return voter.ID == id })
	return !votes || s.countLost(voters)+1 <= (len(voters)-1)/2
}
