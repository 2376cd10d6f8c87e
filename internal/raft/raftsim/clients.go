package raftsim

import (
	"encoding/binary"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// clientTurn proposes and reads at one machine that believes it leads. Proposals
// pause at times: only then can a follower that was partitioned be elected.
func (s *simulation) clientTurn() {
	s.after(s.between(10*time.Millisecond, 60*time.Millisecond), s.clientTurn)
	if !s.healed && s.chance(0.02) {
		s.pauseProposals(s.between(500*time.Millisecond, 4*time.Second))
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

func (s *simulation) pauseProposals(duration time.Duration) {
	s.proposalsPausedUntil = max(s.proposalsPausedUntil, s.now+duration)
}

func (s *simulation) believedLeaders() []*machine {
	var leaders []*machine
	for _, m := range s.machines {
		if m.up && m.status.Role == raft.RoleLeader {
			leaders = append(leaders, m)
		}
	}
	return leaders
}

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
	m.do(func(now time.Duration) {
		index, term, err := m.node.Propose(now, commands)
		if err != nil {
			return
		}
		for i := range commands {
			m.proposals[index+uint64(i)] = proposal{term: term, id: first + uint64(i)}
		}
	})
}

func (s *simulation) read(m *machine) {
	s.nextRead++
	request, floor := s.nextRead, s.checker.highestAcknowledged
	m.do(func(now time.Duration) {
		if s.options.mutation == mutationUnconfirmedReads && m.status.Role == raft.RoleLeader {
			m.reads[request] = floor
			s.checkRead(m, raft.ReadState{Request: request, Index: m.status.Commit})
			return
		}
		if m.node.ReadIndex(now, request) == nil {
			m.reads[request] = floor
		}
	})
}
