package replica

import (
	"context"
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// maxNonMembers bounds the senders outside of the membership that answers are
// kept for; it is the newest ones.
const maxNonMembers = 8

// transport sends messages to the other replicas. It belongs to the loop;
// only the queues' goroutines run beside it.
type transport struct {
	ctx     context.Context
	replica *Replica
	members map[raft.ReplicaID]*peer
	// nonMembers are senders that the membership does not list (yet): a replica
	// that joins must answer a leader it has no membership from.
	nonMembers     map[raft.ReplicaID]*peer
	nonMemberOrder []raft.ReplicaID
}

func newTransport(ctx context.Context, replica *Replica) *transport {
	return &transport{
		ctx:        ctx,
		replica:    replica,
		members:    make(map[raft.ReplicaID]*peer),
		nonMembers: make(map[raft.ReplicaID]*peer),
	}
}

// setMembers starts and stops links to follow the membership.
func (t *transport) setMembers(membership raft.Membership) {
	wanted := make(map[raft.ReplicaID]*peer)
	for _, member := range slices.Concat(membership.Voters, membership.Outgoing, membership.Learners) {
		if member.ID == t.replica.self.ID || wanted[member.ID] != nil {
			continue
		}
		link := t.members[member.ID]
		if link == nil || link.address != member.Address {
			link = t.start(member)
		}
		wanted[member.ID] = link
		t.dropNonMember(member.ID)
	}
	for id, link := range t.members {
		if wanted[id] != link {
			link.stop()
		}
	}
	t.members = wanted
}

// observeSender remembers where to answer a sender outside of the membership.
func (t *transport) observeSender(sender raft.Member) {
	if sender.ID == "" || sender.ID == t.replica.self.ID || t.members[sender.ID] != nil {
		return
	}
	if link := t.nonMembers[sender.ID]; link != nil {
		if link.address == sender.Address {
			return
		}
		t.dropNonMember(sender.ID)
	}
	if len(t.nonMemberOrder) >= maxNonMembers {
		t.dropNonMember(t.nonMemberOrder[0])
	}
	t.nonMembers[sender.ID] = t.start(sender)
	t.nonMemberOrder = append(t.nonMemberOrder, sender.ID)
}

func (t *transport) dropNonMember(id raft.ReplicaID) {
	link := t.nonMembers[id]
	if link == nil {
		return
	}
	link.stop()
	delete(t.nonMembers, id)
	t.nonMemberOrder = slices.DeleteFunc(t.nonMemberOrder, func(guest raft.ReplicaID) bool { return guest == id })
}

func (t *transport) start(member raft.Member) *peer {
	link := newPeer(t.ctx, t.replica, member)
	t.replica.background.Go(func() { link.urgent.run(link) })
	t.replica.background.Go(func() { link.appends.run(link) })
	return link
}

// send hands a message to its peer's link; it never blocks. What no link is
// known for is dropped, raft sends it again.
func (t *transport) send(message raft.Message) {
	link := t.members[message.To]
	if link == nil {
		link = t.nonMembers[message.To]
	}
	if link != nil {
		link.send(message)
	}
}

// reachable reports whether the newest call to a member was answered, or none has
// failed yet.
func (t *transport) reachable(id raft.ReplicaID) bool {
	link := t.members[id]
	return link != nil && !link.unreachable.Load()
}
