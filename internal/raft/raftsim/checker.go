package raftsim

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/decklever/decklever/internal/raft"
)

// appliedEntry holds the properties of an applied entry that must be equal on all
// machines.
type appliedEntry struct {
	term uint64
	kind raft.EntryKind
	hash uint64
}

// firstAppliedIndex is the index of the first entry that a machine can apply: the
// initial voters start from a snapshot at index 1.
const firstAppliedIndex = 2

// checker records everything that any machine applied or acknowledged during the
// run.
type checker struct {
	// applied has the entries from firstAppliedIndex on, each as the first machine
	// applied it.
	applied []appliedEntry
	// membership is the newest one that any machine applied.
	membership raft.Membership
	// commandIndex maps the id of each applied command to its index. A command
	// may be applied at one index only.
	commandIndex map[uint64]uint64
	// acknowledged maps the id of each acknowledged command to its index.
	acknowledged map[uint64]uint64
	// highestAcknowledgedIndex is the highest acknowledged index;
	// newestAcknowledgedProposal is the highest acknowledged command id.
	highestAcknowledgedIndex   uint64
	newestAcknowledgedProposal uint64
	// leaders maps each term to its leader.
	leaders map[uint64]raft.ReplicaID
}

func newChecker() checker {
	return checker{
		commandIndex: make(map[uint64]uint64),
		acknowledged: make(map[uint64]uint64),
		leaders:      make(map[uint64]raft.ReplicaID),
	}
}

// lastIndex returns the highest index that any machine applied.
func (c *checker) lastIndex() uint64 { return uint64(len(c.applied)) + firstAppliedIndex - 1 }

// termAt returns the term of the applied entry, or of the initial snapshot, at
// index; ok is false if no machine has applied index.
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

// acknowledgedAfter reports whether a command that was proposed after the given
// proposal is acknowledged.
func (c *checker) acknowledgedAfter(proposal uint64) bool {
	return c.newestAcknowledgedProposal > proposal
}

// checkApplied requires that an entry that m applies equals the entry that other
// machines applied at its index, and records it if m is the first.
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
	current := appliedEntry{term: entry.Term, kind: entry.Kind, hash: hashBytes(entry.Data)}
	if entry.Index <= c.lastIndex() {
		if known := c.applied[entry.Index-firstAppliedIndex]; known != current {
			s.fail("machine %d applies %+v at %d, where %+v was applied", m.index, current, entry.Index, known)
		}
		return
	}
	c.applied = append(c.applied, current)
	switch entry.Kind {
	case raft.EntryCommand:
		s.recordCommand(entry)
	case raft.EntryMembership:
		s.recordMembership(m.membership)
	}
}

// recordCommand records the index of a command and requires that it was not applied
// at another index.
func (s *simulation) recordCommand(entry raft.Entry) {
	id := binary.LittleEndian.Uint64(entry.Data)
	if earlier, ok := s.checker.commandIndex[id]; ok {
		s.fail("command %d is at %d and at %d", id, earlier, entry.Index)
	}
	s.checker.commandIndex[id] = entry.Index
}

// recordMembership records the newest applied membership. If it completes the
// replacement of lost voters, another disk may be lost right afterwards.
func (s *simulation) recordMembership(membership raft.Membership) {
	hadLostVoter := s.countLost(s.checker.membership.Voters) > 0 || s.countLost(s.checker.membership.Outgoing) > 0
	s.checker.membership = membership
	if len(membership.Outgoing) > 0 || s.countLost(membership.Voters) > 0 || !hadLostVoter {
		return
	}
	s.report.Replacements++
	if !s.healed && s.chance(0.6) {
		s.after(s.randomDuration(0, 30), s.loseSecondDisk)
	}
}

// acknowledge records that m responded to the client of a command, and requires
// that the command was applied at that index.
func (s *simulation) acknowledge(m *machine, id, index uint64) {
	c := &s.checker
	s.recordEvent(m.index, "acknowledge", id, index, 0)
	if c.commandIndex[id] != index {
		s.fail("command %d is acknowledged at %d and lies at %d", id, index, c.commandIndex[id])
	}
	c.acknowledged[id] = index
	c.highestAcknowledgedIndex = max(c.highestAcknowledgedIndex, index)
	c.newestAcknowledgedProposal = max(c.newestAcknowledgedProposal, id)
	s.report.Acknowledged++
}

// checkRead requires that a read covers every entry that was acknowledged before
// its request.
func (s *simulation) checkRead(m *machine, state raft.ReadState) {
	minIndex, ok := m.reads[state.Request]
	if !ok {
		s.fail("machine %d answers read %d, which was not requested there", m.index, state.Request)
		return
	}
	delete(m.reads, state.Request)
	s.recordEvent(m.index, "read", state.Request, state.Index, minIndex)
	s.report.Reads++
	if state.Index < minIndex {
		s.fail("machine %d reads at %d, though %d was acknowledged before", m.index, state.Index, minIndex)
	}
}

// checkLeader requires that each term has at most one leader.
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

// checkLease requires that no other machine, frozen ones included, claims a lease
// at the same virtual time as m.
func (s *simulation) checkLease(m *machine) {
	if s.options.mutation == mutationForgetVote || !m.claimsLease() {
		return // mutationForgetVote disables the vote delay too, so leases may overlap
	}
	for _, other := range s.machines {
		if other != m && other.claimsLease() {
			s.fail("machines %d (term %d) and %d (term %d) both hold a lease",
				m.index, m.status.Term, other.index, other.status.Term)
		}
	}
}

// converged reports whether the newest applied membership is not joint and has the
// initial number of voters, and each voter still has its disk and has applied every
// acknowledged entry.
func (s *simulation) converged() bool { return s.notConvergedReason() == "" }

// notConvergedReason returns the first condition of converged that does not hold,
// or an empty string.
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
		if m.applied < s.checker.highestAcknowledgedIndex {
			return fmt.Sprintf("machine %d applied %d of %d", m.index, m.applied, s.checker.highestAcknowledgedIndex)
		}
	}
	return ""
}

// checkFinal requires that each acknowledged command was applied at its
// acknowledged index, and that every voter has applied that index. It is called
// after convergence; checkApplied has compared the entries between machines.
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
