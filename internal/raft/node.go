package raft

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Bounds of Ready.Committed, so that one turn of the owner stays short.
const (
	maxCommittedBytes   = 4 << 20
	maxCommittedEntries = 4096
)

// Node is one replica's part of the replicated log. It is not safe for use by
// several goroutines.
type Node struct {
	config Config
	random *rand.Rand
	// now is the latest time that a caller named.
	now time.Duration

	term     uint64
	votedFor ReplicaID
	role     Role
	leader   ReplicaID
	log      raftLog
	// snapshot is the newest one that the owner told of.
	snapshot SnapshotMeta
	// persistedHardState is the hard state that the owner has.
	persistedHardState HardState

	// memberships are the latest at or before the log's base and every later
	// one of the log, oldest first.
	memberships []membershipEntry
	// peers are in the order of the membership; voters and outgoing point into
	// it. No behaviour depends on the order of a map.
	peers    []*progress
	voters   []*progress
	outgoing []*progress

	// electionDeadline is unset until the first call names a time.
	electionDeadline    time.Duration
	electionDeadlineSet bool
	leaderContact       leaderContact

	leadership leadership

	messages   []Message
	readStates []ReadState
	// broadcastPending: entries were appended and not yet sent to the peers.
	broadcastPending bool
}

// leaderContact is the promise a voter made by answering a leader.
type leaderContact struct {
	known bool
	at    time.Duration
	term  uint64
}

// leadership is the state of one term as leader.
type leadership struct {
	// firstIndex is the place of the term's noop.
	firstIndex uint64
	lease      lease
	transfer   transfer
	reads      []pendingRead
}

var _ Core = (*Node)(nil)

// New makes a Node from what its owner found on disk. It fails on a wrong
// Config and on restored state that has a gap or contradicts itself.
func New(config Config, restored RestoredState) (*Node, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("raft: wrong config: %w", err)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(config.ID))
	n := &Node{
		config: config,
		random: rand.New(rand.NewPCG(uint64(config.Seed), hash.Sum64())),
	}
	if err := n.restore(restored); err != nil {
		return nil, fmt.Errorf("raft: cannot restore replica %s: %w", config.ID, err)
	}
	return n, nil
}

// advanceTime takes over the caller's time, which never goes back.
func (n *Node) advanceTime(now time.Duration) {
	n.now = max(n.now, now)
	if !n.electionDeadlineSet {
		n.resetElectionDeadline()
	}
}

// ElectionDeadline is the time at which Tick has something to do unless a
// message comes before; ok is false for a leader, which needs every tick.
func (n *Node) ElectionDeadline() (deadline time.Duration, ok bool) {
	return n.electionDeadline, n.role != RoleLeader
}

// Tick lets time pass: elections, heartbeats and timeouts start from here.
func (n *Node) Tick(now time.Duration) {
	n.advanceTime(now)
	if n.role == RoleLeader {
		n.tickHeartbeat()
		return
	}
	n.tickElection()
}

// Step takes a message from another replica. now must have been read after the
// message was received: the promise behind a lease counts from it. An error
// means that the message contradicts what is known here and was not taken.
func (n *Node) Step(now time.Duration, message Message) error {
	n.advanceTime(now)
	if message.To != n.config.ID {
		return fmt.Errorf("raft: message for replica %s came to %s: %w", message.To, n.config.ID, ErrUnknownReplica)
	}
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessagePreVoteResponse:
		n.handlePreVoteResponse(message)
	case MessageVote:
		n.handleVote(message)
	case MessageVoteResponse:
		n.handleVoteResponse(message)
	case MessageAppend, MessageSnapshot:
		return n.stepLeaderMessage(message)
	case MessageAppendResponse:
		n.handleAppendResponse(message)
	case MessageTimeoutNow:
		n.handleTimeoutNow(message)
	default:
		return fmt.Errorf("raft: unknown message kind %d", message.Kind)
	}
	return nil
}

// send queues a message for the next Ready, which persists first whatever the
// message depends on.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, VotedFor: n.votedFor, Commit: n.log.committed}
}

// HasReady reports whether Ready has anything to do.
func (n *Node) HasReady() bool {
	return n.hardState() != n.persistedHardState ||
		n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.committed ||
		n.broadcastPending ||
		len(n.messages) > 0 ||
		len(n.readStates) > 0
}

// Ready returns what the owner must do now. Its messages and read states are
// handed out once. The owner calls Advance before the next Ready; Step, Tick
// and the like may come between.
func (n *Node) Ready() Ready {
	if n.broadcastPending {
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
	// A lost commit index is learned again; a lost vote, term or entry is not.
	ready.MustSync = len(ready.Entries) > 0 ||
		hardState.Term != n.persistedHardState.Term || hardState.VotedFor != n.persistedHardState.VotedFor
	n.messages, n.readStates = nil, nil
	if n.role == RoleLeader && hardState.Term == n.persistedHardState.Term && hardState.VotedFor == n.persistedHardState.VotedFor {
		ready.EarlyMessages, ready.Messages = splitEarly(ready.Messages)
	}
	return ready
}

// splitEarly parts a leader's appends from what must wait for the sync. The
// order within each part stays.
func splitEarly(messages []Message) (early, late []Message) {
	for _, message := range messages {
		if message.Kind == MessageAppend {
			early = append(early, message)
			continue
		}
		late = append(late, message)
	}
	return early, late
}

// Advance tells that everything in ready was done.
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

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	status := Status{
		ID:                  n.config.ID,
		Role:                n.role,
		Term:                n.term,
		Leader:              n.leader,
		Commit:              n.log.committed,
		Applied:             n.log.applied,
		LastIndex:           n.log.lastIndex(),
		FirstIndex:          n.log.firstIndex(),
		Membership:          n.membership().clone(),
		FallbackMemberships: n.fallbackMemberships(),
		LeaseUntil:          n.leaseUntil(),
		TermReady:           n.committedEntryInTerm(),
	}
	if n.role == RoleLeader {
		status.Progress = n.progressReport()
	}
	return status
}

func (n *Node) progressReport() []Progress {
	progress := make([]Progress, 0, len(n.peers))
	for _, p := range n.peers {
		entry := Progress{
			ID:            p.id,
			Match:         n.matchIndex(p),
			Learner:       !p.voter,
			LastSeen:      p.lastSeen,
			NeedsSnapshot: p.state == stateSnapshot,
		}
		if p.id == n.config.ID {
			entry.LastSeen = n.now
		}
		progress = append(progress, entry)
	}
	return progress
}
