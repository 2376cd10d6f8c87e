package raft

// Bounds of Ready.Committed, which keep one iteration of the owner's loop short.
const (
	maxCommittedBytes   = 4 << 20
	maxCommittedEntries = 4096
)

// Ready is the work of the owner, in this order: send EarlyMessages; persist
// HardState and Entries with one sync; send Messages; apply Committed; answer the
// reads in ReadStates once the state machine has applied their index; call
// Advance. If a vote or an acknowledgement were sent before it is durable, a crash
// could lose it after an election or a commit has counted it.
type Ready struct {
	// EarlyMessages are a leader's appends, which may be sent before the sync. A
	// leader counts its own copy of an entry only once it is persisted, so its
	// followers may write the entry at the same time (Ongaro's thesis, 10.2.1).
	EarlyMessages []Message
	// HardState is nil if it is unchanged.
	HardState *HardState
	// Entries replace all stored entries from the index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// ReadStates are the read requests whose read index is confirmed.
	ReadStates []ReadState
	// MustSync is false if the owner may skip the sync, because a crash could lose
	// nothing but the commit index.
	MustSync bool
}

// ReadState means that the read with the id Request is linearizable once the owner
// has applied Index.
type ReadState struct {
	Request uint64
	Index   uint64
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.hardState() != n.persistedHardState ||
		n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.committed ||
		n.leadership.broadcastPending ||
		len(n.messages) > 0 ||
		len(n.readStates) > 0
}

// Ready returns the work of the owner. Each message and read state is returned
// only once. The owner calls Advance before it calls Ready again; it may call
// Step, Tick and the other methods in between.
func (n *Node) Ready() Ready {
	if n.leadership.broadcastPending {
		n.broadcastAppend()
	}
	ready := Ready{
		Entries:    n.log.unstableEntries(),
		Messages:   n.messages,
		Committed:  n.log.slice(n.log.applied+1, n.log.committed, maxCommittedBytes, maxCommittedEntries),
		ReadStates: n.readStates,
	}
	hardState := n.hardState()
	if hardState != n.persistedHardState {
		ready.HardState = &hardState
	}
	voteChanged := hardState.Term != n.persistedHardState.Term || hardState.VotedFor != n.persistedHardState.VotedFor
	// A replica learns a lost commit index again, but not a lost vote, term or
	// entry.
	ready.MustSync = len(ready.Entries) > 0 || voteChanged
	n.messages, n.readStates = nil, nil
	if n.role == RoleLeader && !voteChanged {
		ready.EarlyMessages, ready.Messages = splitEarlyMessages(ready.Messages)
	}
	return ready
}

// splitEarlyMessages separates a leader's appends from the messages that must wait
// for the sync. It preserves the order within each part.
func splitEarlyMessages(messages []Message) (early, afterSync []Message) {
	for _, message := range messages {
		if message.Kind == MessageAppend {
			early = append(early, message)
			continue
		}
		afterSync = append(afterSync, message)
	}
	return early, afterSync
}

// Advance records that the owner has completed all the work in ready. A leader
// then counts its own persisted entries towards commit.
func (n *Node) Advance(ready Ready) {
	if ready.HardState != nil {
		n.persistedHardState = *ready.HardState
	}
	n.log.stableTo(ready.Entries)
	if count := len(ready.Committed); count > 0 {
		n.log.applied = max(n.log.applied, ready.Committed[count-1].Index)
	}
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}
