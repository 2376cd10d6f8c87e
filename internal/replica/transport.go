package replica

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

// transportConfig is what a transport and its peers are made of.
type transportConfig struct {
	self       *localMember
	client     *rpc.Client
	wallClock  func() time.Time
	logger     *slog.Logger
	background *backgroundTasks
}

// transport sends messages to the other replicas. It belongs to the loop; only the
// goroutines of the peers' queues run beside it.
type transport struct {
	transportConfig

	ctx     context.Context
	members map[raft.ReplicaID]*peer
	// nonMembers are senders that the membership does not list (yet): a replica that
	// joins must answer a leader from which it has no membership.
	nonMembers map[raft.ReplicaID]*peer
	// nonMemberOrder has the ids of nonMembers, oldest first.
	nonMemberOrder []raft.ReplicaID
}

func newTransport(ctx context.Context, config transportConfig) *transport {
	return &transport{
		transportConfig: config,
		ctx:             ctx,
		members:         make(map[raft.ReplicaID]*peer),
		nonMembers:      make(map[raft.ReplicaID]*peer),
	}
}

// setMembers starts and stops peers to follow the membership. A member whose address
// changed gets a new peer.
func (t *transport) setMembers(membership raft.Membership) {
	members := make(map[raft.ReplicaID]*peer)
	for _, member := range slices.Concat(membership.Voters, membership.Outgoing, membership.Learners) {
		if member.ID == t.self.id || members[member.ID] != nil {
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

// observeSender remembers where to answer a sender outside of the membership.
func (t *transport) observeSender(sender raft.Member) {
	if sender.ID == "" || sender.ID == t.self.id || t.members[sender.ID] != nil {
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

func (t *transport) dropNonMember(id raft.ReplicaID) {
	existing := t.nonMembers[id]
	if existing == nil {
		return
	}
	existing.stop()
	delete(t.nonMembers, id)
	t.nonMemberOrder = slices.DeleteFunc(t.nonMemberOrder, func(other raft.ReplicaID) bool { return other == id })
}

func (t *transport) startPeer(member raft.Member) *peer {
	started := newPeer(t.ctx, t.transportConfig, member)
	started.start()
	return started
}

// send hands a message to its peer and never blocks. A message to an unknown replica
// is dropped; raft sends it again.
func (t *transport) send(message raft.Message) {
	receiver := t.members[message.To]
	if receiver == nil {
		receiver = t.nonMembers[message.To]
	}
	if receiver != nil {
		receiver.send(message)
	}
}

// reachable reports whether the newest call to a member succeeded, or none has failed
// yet.
func (t *transport) reachable(id raft.ReplicaID) bool {
	member := t.members[id]
	return member != nil && !member.unreachable.Load()
}

// reachesQuorum reports whether a majority of the voters is reachable, this replica
// included, and at least one other.
func (t *transport) reachesQuorum(voters []raft.Member) bool {
	others, reached := 0, 0
	for _, voter := range voters {
		switch {
		case voter.ID == t.self.id:
			reached++
		case t.reachable(voter.ID):
			others++
			reached++
		}
	}
	return others > 0 && reached > len(voters)/2
}
