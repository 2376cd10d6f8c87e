package raftsim

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// nextFault makes one fault and schedules the next.
func (s *simulation) nextFault() {
	if s.healed {
		return
	}
	switch s.options.scenario {
	case scenarioVoterRestarts:
		s.restartVoterRepeatedly()
		s.after(s.between(2*time.Second, 4*time.Second), s.nextFault)
	case scenarioLateTransfers:
		s.delayTimeoutNow()
		s.transferLeadership()
		s.after(maxTimeoutNowDelay, s.nextFault)
	default:
		s.mixedFault()
	}
}

// mixedFault makes a random one of all faults.
func (s *simulation) mixedFault() {
	s.after(s.between(50*time.Millisecond, 1200*time.Millisecond), s.nextFault)
	m := s.faultTarget()
	switch draw := s.random.IntN(100); {
	case draw < 14:
		m.crash(s.between(50*time.Millisecond, 5*time.Second))
	case draw < 26:
		s.restartRepeatedly(m)
	case draw < 38:
		m.freeze(s.freezeTime())
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

// faultTarget prefers a leader.
func (s *simulation) faultTarget() *machine {
	if leaders := s.believedLeaders(); len(leaders) > 0 && s.chance(0.4) {
		return leaders[s.random.IntN(len(leaders))]
	}
	return s.machines[s.random.IntN(len(s.machines))]
}

// freezeTime is mostly short, and sometimes longer than the faults last.
func (s *simulation) freezeTime() time.Duration {
	if s.chance(0.2) {
		return s.between(time.Second, 25*time.Second)
	}
	return s.between(300*time.Millisecond, 3*time.Second)
}

// restartRepeatedly restarts a machine at once, a few times: a voter may forget
// the heartbeats that it answered.
func (s *simulation) restartRepeatedly(m *machine) {
	m.crash(s.between(time.Millisecond, 50*time.Millisecond))
	for i := range s.random.IntN(4) {
		s.after(time.Duration(i+1)*s.between(100*time.Millisecond, 400*time.Millisecond), func() {
			if !s.healed {
				m.crash(s.between(time.Millisecond, 50*time.Millisecond))
			}
		})
	}
}

// restartVoterRepeatedly restarts a voter again and again while nothing is
// proposed, so that any log may win. A follower that is partitioned from the
// leader is elected too early should the voter forget a heartbeat that it
// answered. If the leader restarts as well, and messages are slow, both are
// elected in one term should it forget its vote.
func (s *simulation) restartVoterRepeatedly() {
	leaders := s.believedLeaders()
	if len(leaders) == 0 {
		return
	}
	leader := leaders[s.random.IntN(len(leaders))]
	order := s.random.Perm(len(s.machines))
	order = slices.DeleteFunc(order, func(i int) bool { return i == leader.index })
	candidate, voter := s.machines[order[0]], s.machines[order[1]]
	duration := s.between(2*time.Second, 4*time.Second)
	s.pauseProposals(duration)
	s.partitionLink(leader.index, candidate.index, duration)
	s.partitionLink(candidate.index, leader.index, duration)
	s.network.slowRate = 0
	if s.chance(0.5) {
		s.network.slowRate = 0.6
		leader.crash(s.between(10*time.Millisecond, 300*time.Millisecond))
	}
	for at := time.Duration(0); at < duration; at += s.between(60*time.Millisecond, 200*time.Millisecond) {
		s.after(at, func() {
			if !s.healed {
				voter.crash(s.between(time.Millisecond, 20*time.Millisecond))
			}
		})
	}
}

// isolate partitions a machine from all others, both ways or one.
func (s *simulation) isolate(m *machine) {
	incoming := s.chance(0.7)
	outgoing := !incoming || s.chance(0.7)
	duration := s.between(200*time.Millisecond, 4*time.Second)
	if incoming {
		s.partitionIncoming(m, duration)
	}
	if outgoing {
		for _, other := range s.machines {
			s.partitionLink(m.index, other.index, duration)
		}
	}
}

// partitionIncoming blocks all links to a machine.
func (s *simulation) partitionIncoming(m *machine, duration time.Duration) {
	for _, other := range s.machines {
		s.partitionLink(other.index, m.index, duration)
	}
}

// partitionPair blocks the links between a machine and another, both ways or one.
func (s *simulation) partitionPair(m *machine) {
	other := s.machines[s.random.IntN(len(s.machines))]
	duration := s.between(200*time.Millisecond, 5*time.Second)
	s.partitionLink(m.index, other.index, duration)
	if s.chance(0.6) {
		s.partitionLink(other.index, m.index, duration)
	}
}

// partitionLink blocks one direction between two machines.
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

func (s *simulation) changeLinkQuality() {
	s.network.dropRate = s.random.Float64() * s.random.Float64() * 0.4
	s.network.doubleRate = s.random.Float64() * 0.1
	s.network.slowRate = s.random.Float64() * s.random.Float64() * 0.4
}

// delayTimeoutNow makes a transfer fail, with its TimeoutNow arriving after
// another election. Proposals pause, so that the target still has a log that may
// win.
func (s *simulation) delayTimeoutNow() {
	s.network.delayTimeoutNowUntil = s.now + electionTimeoutMax + electionTimeoutMin
	s.pauseProposals(maxTimeoutNowDelay)
}

func (s *simulation) transferLeadership() {
	for _, m := range s.believedLeaders() {
		if s.options.scenario == scenarioMixed && s.chance(0.4) {
			// It does not learn that there is a new leader.
			s.partitionIncoming(m, s.between(300*time.Millisecond, 2*time.Second))
		}
		target := raft.ReplicaID("")
		if s.chance(0.5) {
			target = s.machines[s.random.IntN(len(s.machines))].id
		}
		m.do(func(now time.Duration) {
			if m.node.TransferLeadership(now, target) == nil {
				s.report.Transfers++
				s.recordEvent(m.index, "transfer", m.status.Term, 0, 0)
			}
		})
	}
}

func (s *simulation) loseDisk(m *machine) {
	if s.canLoseDisk(m.id) {
		m.loseDisk(s.between(50*time.Millisecond, 2*time.Second))
	}
}

// secondLoss loses a disk right after a replacement was complete.
func (s *simulation) secondLoss() {
	m := s.machines[s.random.IntN(len(s.machines))]
	if s.healed || !s.canLoseDisk(m.id) {
		return
	}
	s.report.SecondLosses++
	m.loseDisk(s.between(50*time.Millisecond, 2*time.Second))
}

// canLoseDisk keeps a majority of every voter set that may decide: the newest one
// applied, and those that its voters hold in their logs. Losing more is beyond
// what a replicated log can survive.
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

func (s *simulation) retainsMajority(membership raft.Membership, id raft.ReplicaID) bool {
	return s.retainsMajorityOf(membership.Voters, id) && s.retainsMajorityOf(membership.Outgoing, id)
}

func (s *simulation) retainsMajorityOf(voters []raft.Member, id raft.ReplicaID) bool {
	votes := slices.ContainsFunc(voters, func(voter raft.Member) bool { return voter.ID == id })
	return !votes || s.lostIn(voters)+1 <= (len(voters)-1)/2
}
