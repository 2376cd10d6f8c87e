package replica

import (
	"slices"
	"sync/atomic"

	"github.com/decklever/decklever/internal/raft"
)

// localMember is this replica as the membership lists it. The zone may change
// while the process runs; the rest is fixed when the replica is made. All methods
// may be called from any goroutine.
type localMember struct {
	id      raft.ReplicaID
	name    string
	address string
	zone    atomic.Pointer[string]
}

func newLocalMember(id raft.ReplicaID, config Config) *localMember {
	member := &localMember{id: id, name: config.Name, address: config.Address}
	member.setZone(config.Zone)
	return member
}

// member returns the member data with the current zone.
func (m *localMember) member() raft.Member {
	return raft.Member{ID: m.id, Name: m.name, Zone: *m.zone.Load(), Address: m.address}
}

func (m *localMember) setZone(zone string) { m.zone.Store(&zone) }

// findMember looks in all parts of a membership.
func findMember(membership raft.Membership, id raft.ReplicaID) (raft.Member, bool) {
	for _, part := range [][]raft.Member{membership.Voters, membership.Outgoing, membership.Learners} {
		if i := indexOf(part, id); i >= 0 {
			return part[i], true
		}
	}
	return raft.Member{}, false
}

func indexOf(members []raft.Member, id raft.ReplicaID) int {
	return slices.IndexFunc(members, func(member raft.Member) bool { return member.ID == id })
}

func sameMembership(a, b raft.Membership) bool {
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Outgoing, b.Outgoing) && slices.Equal(a.Learners, b.Learners)
}

// memberNames formats members as "name=id" for logs.
func memberNames(members []raft.Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name + "=" + string(member.ID)
	}
	return names
}
