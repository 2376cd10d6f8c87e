package replica

import (
	"slices"
	"sync/atomic"

	"github.com/decklever/decklever/internal/raft"
)

// localMember is the member data of this replica. The zone may change while the process
// runs; all other fields are fixed when the replica is created. All methods may be called
// from any goroutine.
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

// findMember returns the voter, outgoing voter or learner with the id; false if the
// membership has no such member.
func findMember(membership raft.Membership, id raft.ReplicaID) (raft.Member, bool) {
	for _, part := range [][]raft.Member{membership.Voters, membership.Outgoing, membership.Learners} {
		if i := indexOf(part, id); i >= 0 {
			return part[i], true
		}
	}
	return raft.Member{}, false
}

// indexOf returns the index of the member with the id, or -1.
func indexOf(members []raft.Member, id raft.ReplicaID) int {
	return slices.IndexFunc(members, func(member raft.Member) bool { return member.ID == id })
}

func sameMembership(a, b raft.Membership) bool {
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Outgoing, b.Outgoing) && slices.Equal(a.Learners, b.Learners)
}

// memberNames formats members as "name=id" for log lines.
func memberNames(members []raft.Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name + "=" + string(member.ID)
	}
	return names
}
