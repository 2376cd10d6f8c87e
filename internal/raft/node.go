package raft

import (
	"fmt"
	"time"
)

// Node is the Raft state machine of one replica. It has no lock and starts no
// goroutine; its owner serializes all calls.
//
// Its state is divided by concern: raftLog holds the entries, membershipHistory
// the memberships among them, progressTracker the known state of the replicas,
// electionTimer and leaderContact the state for elections, and leadership the
// state that exists only while this node is leader.
type Node struct {
	config Config
	// now is the latest monotonic time that the owner passed in.
	now time.Duration

	// term, votedFor and log.committed make up the hard state.
	term     uint64
	votedFor ReplicaID
	role     Role
	// leader is the leader of term, or empty if it is unknown.
	leader ReplicaID

	log         raftLog
	memberships membershipHistory
	// snapshot is the newest snapshot that the owner reported. A leader offers it
	// to replicas that need compacted entries.
	snapshot SnapshotMeta

	tracker       progressTracker
	electionTimer electionTimer
	leaderContact leaderContact
	leadership    leadership

	// persistedHardState is the hard state that the owner last persisted; messages
	// and readStates are returned by the next Ready.
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
	// reads holds the read requests that wait for the no-op to be committed, or
	// for a quorum to acknowledge their round of heartbeats.
	reads []pendingRead
	// broadcastPending is true if entries were appended since the last broadcast.
	broadcastPending bool
}

// New returns a Node with the state that its owner found on disk. It fails with a
// ConfigError, or if the restored state has a gap, is inconsistent, or has a
// membership that cannot be decoded.
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

// advanceTime sets now to the owner's time, and never moves it back. The first call
// starts the election timer.
func (n *Node) advanceTime(now time.Duration) {
	n.now = max(n.now, now)
	if !n.electionTimer.started {
		n.electionTimer.reset(n.now)
	}
}

// Tick handles election timeouts, heartbeats and other timeouts that are due at
// now. In all calls now is a monotonic time.
func (n *Node) Tick(now time.Duration) {
	n.advanceTime(now)
	if n.role == RoleLeader {
		n.tickHeartbeat()
		return
	}
	n.tickElection()
}

// Step handles a message from another replica. The owner must read the time now
// from its clock after it received the message, since a voter withholds its vote
// from other candidates for a time counted from now. Step fails if the message is
// addressed to another replica (ErrUnknownReplica), has an unknown kind, or
// contradicts this node's state; none of its entries are appended then.
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

// send queues a message for the next Ready. The owner persists the state that the
// message depends on before it sends the message. Term is set to the current term
// unless the message has one.
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
