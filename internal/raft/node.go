package raft

import (
	"fmt"
	"time"
)

// Node is one replica's part of the replicated log. Its owner serializes all
// calls: a Node has no lock and starts no goroutine.
//
// Each concern keeps its state in a type of its own: raftLog the entries,
// membershipHistory the memberships in them, progressTracker what is known of
// the other replicas, electionTimer and leaderContact what elections depend on,
// and leadership what is only meaningful while this node leads.
type Node struct {
	config Config
	// now is the latest time that the owner passed in.
	now time.Duration

	// term, votedFor and log.committed are the hard state.
	term     uint64
	votedFor ReplicaID
	role     Role
	// leader is the leader of term; empty while unknown.
	leader ReplicaID

	log         raftLog
	memberships membershipHistory
	// snapshot is the newest one that the owner reported; a leader announces it.
	snapshot SnapshotMeta

	tracker       progressTracker
	electionTimer electionTimer
	leaderContact leaderContact
	leadership    leadership

	// persistedHardState, messages and readStates are what Ready is made of,
	// besides the log.
	persistedHardState HardState
	messages           []Message
	readStates         []ReadState
}

// leadership is the state of one term as leader. It is discarded when the node
// becomes a follower.
type leadership struct {
	// firstIndex is the index of the term's no-op entry.
	firstIndex uint64
	lease      lease
	transfer   transfer
	// reads are waiting for the no-op to be committed or for a quorum to answer
	// their heartbeat.
	reads []pendingRead
	// broadcastPending: entries were appended that no peer was sent yet.
	broadcastPending bool
}

// New makes a Node from what its owner found on disk. It fails with a
// ConfigError, or if the restored state has a gap or contradicts itself.
func New(config Config, restored RestoredState) (*Node, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("raft: invalid config: %w", err)
	}
	n := &Node{config: config, electionTimer: newElectionTimer(config)}
	if err := n.restore(restored); err != nil {
		return nil, fmt.Errorf("raft: cannot restore replica %s: %w", config.ID, err)
	}
	return n, nil
}

// advanceTime adopts the owner's time, which never goes back.
func (n *Node) advanceTime(now time.Duration) {
	n.now = max(n.now, now)
	if !n.electionTimer.started {
		n.electionTimer.reset(n.now)
	}
}

// Tick lets time pass: elections, heartbeats and time-outs start from here.
// now is monotonic, here and in all other calls.
func (n *Node) Tick(now time.Duration) {
	n.advanceTime(now)
	if n.role == RoleLeader {
		n.tickHeartbeat()
		return
	}
	n.tickElection()
}

// Step handles a message from another replica. now must have been read after
// the message was received: the voter's side of a lease counts from it. An
// error means that the message contradicts what this node has; its entries were
// not appended then.
func (n *Node) Step(now time.Duration, message Message) error {
	n.advanceTime(now)
	if message.To != n.config.ID {
		return fmt.Errorf("raft: message for replica %s arrived at %s: %w", message.To, n.config.ID, ErrUnknownReplica)
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
// message depends on. A message without a term gets the current one.
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
