package raftsim

import (
	"encoding/binary"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// issueClientRequests sends proposals and reads to a random machine that believes
// it is the leader, and schedules the next call in 10 to 60 ms. Proposals pause at
// times, because a follower that was partitioned can be elected only if its log is
// not behind.
func (s *simulation) issueClientRequests() {
	s.after(s.randomDuration(10*time.Millisecond, 60*time.Millisecond), s.issueClientRequests)
	if !s.healed && s.chance(0.02) {
		s.pauseProposals(s.randomDuration(500*time.Millisecond, 4*time.Second))
	}
	leaders := s.believedLeaders()
	if len(leaders) == 0 {
		return
	}
	m := leaders[s.random.IntN(len(leaders))]
	if s.chance(0.8) && (s.healed || s.now >= s.proposalsPausedUntil) {
		s.propose(m)
	}
	if s.chance(0.5) {
		s.read(m)
	}
}

// pauseProposals stops the clients from proposing for at least the duration.
func (s *simulation) pauseProposals(duration time.Duration) {
	s.proposalsPausedUntil = max(s.proposalsPausedUntil, s.now+duration)
}

// believedLeaders returns the running machines, frozen ones included, whose last
// status has the leader role.
func (s *simulation) believedLeaders() []*machine {
	var leaders []*machine
	for _, m := range s.machines {
		if m.up && m.status.Role == raft.RoleLeader {
			leaders = append(leaders, m)
		}
	}
	return leaders
}

// propose proposes one to four commands, each with its id in the first eight bytes.
func (s *simulation) propose(m *machine) {
	count := 1 + s.random.IntN(4)
	commands := make([][]byte, count)
	first := s.nextProposal + 1
	for i := range commands {
		s.nextProposal++
		command := make([]byte, 8+s.random.IntN(60))
		binary.LittleEndian.PutUint64(command, s.nextProposal)
		commands[i] = command
	}
	m.runOrQueue(func(now time.Duration) {
		index, term, err := m.node.Propose(now, commands)
		if err != nil {
			return
		}
		for i := range commands {
			m.proposals[index+uint64(i)] = proposal{term: term, id: first + uint64(i)}
		}
	})
}

// read requests a read index at m. The read must cover the highest index that is
// acknowledged now.
func (s *simulation) read(m *machine) {
	s.nextRead++
	request, minIndex := s.nextRead, s.checker.highestAcknowledgedIndex
	m.runOrQueue(func(now time.Duration) {
		if s.options.mutation == mutationUnconfirmedReads && m.status.Role == raft.RoleLeader {
			m.reads[request] = minIndex
			s.checkRead(m, raft.ReadState{Request: request, Index: m.status.Commit})
			return
		}
		if m.node.ReadIndex(now, request) == nil {
			m.reads[request] = minIndex
		}
	})
}
