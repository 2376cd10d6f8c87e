package transport

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// maxNonMembers bounds the senders outside of the membership that are answered; the
// newest ones are.
const maxNonMembers = 8

// Config makes a Transport. All fields are required.
type Config struct {
	// ID is that of this replica.
	ID raft.ReplicaID
	// Self returns this replica as it describes itself to receivers.
	Self func() raft.Member
	// Client makes the calls.
	Client *rpc.Client
	// WallClock is that of this machine; append responses carry it.
	WallClock func() time.Time
	Logger    *slog.Logger
	// Go starts a goroutine, which ends with its peer or the transport's context. The
	// caller waits for it.
	Go func(func())
}

// Transport sends messages to the other replicas. One goroutine, which drives the raft
// node, calls its methods; only the goroutines of the peers' queues run beside it.
type Transport struct {
	config  Config
	ctx     context.Context
	members map[raft.ReplicaID]*peer
	// nonMembers are senders that the membership does not list (yet): a replica that
	// joins must answer a leader from which it has no membership.
	nonMembers map[raft.ReplicaID]*peer
	// nonMemberOrder has the ids of nonMembers, oldest first.
	nonMemberOrder []raft.ReplicaID
}

// New makes a transport without peers. They end with ctx.
func New(ctx context.Context, config Config) *Transport {
	return &Transport{
		config:     config,
		ctx:        ctx,
		members:    make(map[raft.ReplicaID]*peer),
		nonMembers: make(map[raft.ReplicaID]*peer),
	}
}

// SetMembers starts and stops peers to follow the membership. A member whose address
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

// ObserveSender remembers where to answer a sender outside of the membership.
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

// Send hands a message to its peer and never blocks. A message to an unknown replica
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

// Reachable reports whether the newest call to a member succeeded, or none has failed
// yet.
func (t *Transport) Reachable(id raft.ReplicaID) bool {
	member := t.members[id]
	return member != nil && !member.unreachable.Load()
}

// ReachesQuorum reports whether a majority of the voters is reachable, this replica
// included, and at least one other.
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
