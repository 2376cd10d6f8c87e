package raftsim

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/decklever/decklever/internal/raft"
)

// appliedEntry is what is compared of an entry: as the first machine that applied
// it saw it.
type appliedEntry struct {
	term uint64
	kind raft.EntryKind
	hash uint64
}

// firstAppliedIndex is the index of the first entry that is applied: the initial
// voters begin with a snapshot at 1.
const firstAppliedIndex = 2

// checker records all that was ever applied or acknowledged, whichever machine
// did it, and so knows more than any machine does.
type checker struct {
	applied []appliedEntry
	// membership is the newest one applied anywhere.
	membership raft.Membership
	// commandIndex has the index of each command; it may have only one.
	commandIndex map[uint64]uint64
	acknowledged map[uint64]uint64
	// highestAcknowledged is the highest index acknowledged,
	// newestAcknowledgedProposal the highest id of a proposal.
	highestAcknowledged        uint64
	newestAcknowledgedProposal uint64
	leaders                    map[uint64]raft.ReplicaID
}

func newChecker() checker {
	return checker{
		commandIndex: make(map[uint64]uint64),
		acknowledged: make(map[uint64]uint64),
		leaders:      make(map[uint64]raft.ReplicaID),
	}
}

func (c *checker) lastIndex() uint64 { return uint64(len(c.applied)) + firstAppliedIndex - 1 }

func (c *checker) termAt(index uint64) (uint64, bool) {
	switch {
	case index == firstAppliedIndex-1:
		return 1, true
	case index < firstAppliedIndex || index > c.lastIndex():
		return 0, false
	default:
		return c.applied[index-firstAppliedIndex].term, true
	}
}

func (c *checker) acknowledgedAfter(proposal uint64) bool {
	return c.newestAcknowledgedProposal > proposal
}

// checkApplied compares an entry with what others applied at its index.
func (s *simulation) checkApplied(m *machine, entry raft.Entry) {
	c := &s.checker
	s.recordEvent(m.index, "apply", entry.Index, entry.Term, uint64(entry.Kind))
	if entry.Kind == raft.EntryMembership {
		membership, err := raft.DecodeMembership(entry.Data)
		if err != nil {
			s.fail("machine %d: %v", m.index, err)
			return
		}
		m.membership = membership
	}
	seen := appliedEntry{term: entry.Term, kind: entry.Kind, hash: hashBytes(entry.Data)}
	if entry.Index <= c.lastIndex() {
		if known := c.applied[entry.Index-firstAppliedIndex]; known != seen {
			s.fail("machine %d applies %+v at %d, where %+v was applied", m.index, seen, entry.Index, known)
		}
		return
	}
	c.applied = append(c.applied, seen)
	switch entry.Kind {
	case raft.EntryCommand:
		s.recordCommand(entry)
	case raft.EntryMembership:
		s.recordMembership(m.membership)
	}
}

func (s *simulation) recordCommand(entry raft.Entry) {
	id := binary.LittleEndian.Uint64(entry.Data)
	if earlier, ok := s.checker.commandIndex[id]; ok {
		s.fail("command %d is at %d and at %d", id, earlier, entry.Index)
	}
	s.checker.commandIndex[id] = entry.Index
}

func (s *simulation) recordMembership(membership raft.Membership) {
	wasDamaged := s.lostIn(s.checker.membership.Voters) > 0 || s.lostIn(s.checker.membership.Outgoing) > 0
	s.checker.membership = membership
	if len(membership.Outgoing) > 0 || s.lostIn(membership.Voters) > 0 || !wasDamaged {
		return
	}
	s.report.Replacements++
	if !s.healed && s.chance(0.6) {
		s.after(s.between(0, 30), s.secondLoss)
	}
}

// acknowledge records that a client got a response to its command.
func (s *simulation) acknowledge(m *machine, id, index uint64) {
	c := &s.checker
	s.recordEvent(m.index, "acknowledge", id, index, 0)
	if c.commandIndex[id] != index {
		s.fail("command %d is acknowledged at %d and lies at %d", id, index, c.commandIndex[id])
	}
	c.acknowledged[id] = index
	c.highestAcknowledged = max(c.highestAcknowledged, index)
	c.newestAcknowledgedProposal = max(c.newestAcknowledgedProposal, id)
	s.report.Acknowledged++
}

// checkRead: a read may not miss what was acknowledged before its request.
func (s *simulation) checkRead(m *machine, state raft.ReadState) {
	floor, ok := m.reads[state.Request]
	if !ok {
		s.fail("machine %d answers read %d, which is not asked there", m.index, state.Request)
		return
	}
	delete(m.reads, state.Request)
	s.recordEvent(m.index, "read", state.Request, state.Index, floor)
	s.report.Reads++
	if state.Index < floor {
		s.fail("machine %d reads at %d, though %d was acknowledged before", m.index, state.Index, floor)
	}
}

func (s *simulation) checkLeader(m *machine) {
	if m.status.Role != raft.RoleLeader {
		return
	}
	known, ok := s.checker.leaders[m.status.Term]
	if !ok {
		s.checker.leaders[m.status.Term] = m.id
		s.report.Leaders++
		s.recordEvent(m.index, "lead", m.status.Term, 0, 0)
		return
	}
	if known != m.id {
		s.fail("replicas %s and %s both lead term %d", known, m.id, m.status.Term)
	}
}

// checkLease: at one true time only one machine may claim a lease, those that are
// frozen included.
func (s *simulation) checkLease(m *machine) {
	if s.options.mutation == mutationForgetVote || !m.claimsLease() {
		return // without the vote delay leases overlap; that run is about votes
	}
	for _, other := range s.machines {
		if other != m && other.claimsLease() {
			s.fail("machines %d (term %d) and %d (term %d) both hold a lease",
				m.index, m.status.Term, other.index, other.status.Term)
		}
	}
}

// converged: every voter of the membership is up and has applied all that is
// acknowledged.
func (s *simulation) converged() bool { return s.notConvergedReason() == "" }

func (s *simulation) notConvergedReason() string {
	membership := s.checker.membership
	if len(membership.Outgoing) > 0 || len(membership.Voters) != s.initialVoters {
		return fmt.Sprintf("membership %+v", membership)
	}
	for _, voter := range membership.Voters {
		m := s.machineOf(voter.ID)
		if m == nil {
			return fmt.Sprintf("voter %s was not replaced", voter.ID)
		}
		if m.applied < s.checker.highestAcknowledged {
			return fmt.Sprintf("machine %d applied %d of %d", m.index, m.applied, s.checker.highestAcknowledged)
		}
	}
	return ""
}

// checkFinal requires each acknowledged command at the index of its
// acknowledgement. All voters applied that far, and checkApplied compared each
// entry.
func (s *simulation) checkFinal() {
	c := &s.checker
	lowest := uint64(math.MaxUint64)
	for _, voter := range c.membership.Voters {
		lowest = min(lowest, s.machineOf(voter.ID).applied)
	}
	for id := uint64(1); id <= s.nextProposal; id++ {
		index, ok := c.acknowledged[id]
		if ok && (c.commandIndex[id] != index || index > lowest) {
			s.fail("acknowledged command %d at %d is lost", id, index)
		}
	}
}
