package transport

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// maxNonMembers is the maximum number of senders outside the membership for which a peer
// is kept; a new sender replaces the oldest.
const maxNonMembers = 8

// Config configures a Transport. All fields are required.
type Config struct {
	// ID is the id of this replica.
	ID raft.ReplicaID
	// Self returns the member that describes this replica to receivers.
	Self func() raft.Member
	// Client makes the calls.
	Client *rpc.Client
	// WallClock returns the wall-clock time of this machine; append responses carry it.
	WallClock func() time.Time
	Logger    *slog.Logger
	// Go runs a function in a new goroutine. The function returns when its peer is
	// stopped or the transport's context ends; the provider of Go waits for it.
	Go func(func())
}

// Transport sends messages to the other replicas. Its methods must be called from one
// goroutine, the one that drives the raft node; the queues of the peers have goroutines of
// their own.
type Transport struct {
	config  Config
	ctx     context.Context
	members map[raft.ReplicaID]*peer
	// nonMembers holds the peers of senders that the membership does not (yet) list: a
	// joining replica must answer a leader before it has received the membership.
	nonMembers map[raft.ReplicaID]*peer
	// nonMemberOrder lists the ids of nonMembers, oldest first.
	nonMemberOrder []raft.ReplicaID
}

// New creates a transport without peers. Peers that it starts later end when ctx ends.
func New(ctx context.Context, config Config) *Transport {
	return &Transport{
		config:     config,
		ctx:        ctx,
		members:    make(map[raft.ReplicaID]*peer),
		nonMembers: make(map[raft.ReplicaID]*peer),
	}
}

// SetMembers starts and stops peers to match the membership. A member whose address has
// changed gets a new peer.
func (t *Transport) SetMembers(membership raft.Membership) {
	members := make(map[raft.ReplicaID]*peer)
	for _, member := range slices.Concat(membership.Voters, membership.Outgoing, membership.Learners) {
		if member.ID == t.config.ID || members[member.ID] != nil {
			continue
		}
		existing := t.members[member.ID]
		if existing == nil || existing.address != member.Address {
			existing = t.startPeer(member)
		}
		members[member.ID] = existing
		t.dropNonMember(member.ID)
	}
	for id, existing := range t.members {
		if members[id] != existing {
			existing.stop()
		}
	}
	t.members = members
}

// ObserveSender keeps a peer for a sender outside the membership, so that it can be
// answered.
func (t *Transport) ObserveSender(sender raft.Member) {
	if sender.ID == "" || sender.ID == t.config.ID || t.members[sender.ID] != nil {
		return
	}
	if existing := t.nonMembers[sender.ID]; existing != nil {
		if existing.address == sender.Address {
			return
		}
		t.dropNonMember(sender.ID)
	}
	if len(t.nonMemberOrder) >= maxNonMembers {
		t.dropNonMember(t.nonMemberOrder[0])
	}
	t.nonMembers[sender.ID] = t.startPeer(sender)
	t.nonMemberOrder = append(t.nonMemberOrder, sender.ID)
}

func (t *Transport) dropNonMember(id raft.ReplicaID) {
	existing := t.nonMembers[id]
	if existing == nil {
		return
	}
	existing.stop()
	delete(t.nonMembers, id)
	t.nonMemberOrder = slices.DeleteFunc(t.nonMemberOrder, func(other raft.ReplicaID) bool { return other == id })
}

func (t *Transport) startPeer(member raft.Member) *peer {
	started := newPeer(t.ctx, t.config, member)
	started.start()
	return started
}

// Send queues a message for its receiver without blocking. A message to an unknown replica
// is dropped; raft sends it again.
func (t *Transport) Send(message raft.Message) {
	receiver := t.members[message.To]
	if receiver == nil {
		receiver = t.nonMembers[message.To]
	}
	if receiver != nil {
		receiver.send(message)
	}
}

// Reachable reports whether id is a member and the most recently finished call to it, if
// there was one, succeeded.
func (t *Transport) Reachable(id raft.ReplicaID) bool {
	member := t.members[id]
	return member != nil && !member.unreachable.Load()
}

// ReachesQuorum reports whether a majority of the voters is reachable, counting this
// replica, and among them at least one other than this replica.
func (t *Transport) ReachesQuorum(voters []raft.Member) bool {
	others, reached := 0, 0
	for _, voter := range voters {
		switch {
		case voter.ID == t.config.ID:
			reached++
		case t.Reachable(voter.ID):
			others++
			reached++
		}
	}
	return others > 0 && reached > len(voters)/2
}
