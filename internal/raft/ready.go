package raft

// Bounds of Ready.Committed, so that one turn of the owner stays short.
const (
	maxCommittedBytes   = 4 << 20
	maxCommittedEntries = 4096
)

// Ready is what the owner must do now, in this order: send EarlyMessages;
// persist HardState and Entries with one sync; send Messages; apply Committed;
// answer ReadStates once the state machine has reached their index; call
// Advance. A vote or an acknowledgement that is sent before it is durable could
// be forgotten by a crash, and so break the election or commit that counted it.
type Ready struct {
	// EarlyMessages are a leader's appends. They claim nothing that is not
	// durable yet: a leader counts itself only once its entries are persisted,
	// so its followers may write at the same time (Ongaro's thesis, 10.2.1).
	EarlyMessages []Message
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries replace all stored entries from their first index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// ReadStates are the read requests whose index is now confirmed.
	ReadStates []ReadState
	// MustSync is false if the owner may skip the sync, since a crash can lose
	// no more than the commit index.
	MustSync bool
}

// ReadState says that the read with this request id is linearizable once the
// owner has applied Index.
type ReadState struct {
	Request uint64
	Index   uint64
}

// HasReady reports whether Ready has anything to do.
func (n *Node) HasReady() bool {
	return n.hardState() != n.persistedHardState ||
		n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.committed ||
		n.leadership.broadcastPending ||
		len(n.messages) > 0 ||
		len(n.readStates) > 0
}

// Ready returns what the owner must do now. Its messages and read states are
// returned once. The owner calls Advance before the next Ready; Step, Tick and
// the like may come between.
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
	// A lost commit index is learned again; a lost vote, term or entry is not.
	ready.MustSync = len(ready.Entries) > 0 || voteChanged
	n.messages, n.readStates = nil, nil
	if n.role == RoleLeader && !voteChanged {
		ready.EarlyMessages, ready.Messages = splitEarlyMessages(ready.Messages)
	}
	return ready
}

// splitEarlyMessages separates a leader's appends from what must wait for the
// sync. The order within each part stays.
func splitEarlyMessages(messages []Message) (early, late []Message) {
	for _, message := range messages {
		if message.Kind == MessageAppend {
			early = append(early, message)
			continue
		}
		late = append(late, message)
	}
	return early, late
}

// Advance reports that everything in ready was done.
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
