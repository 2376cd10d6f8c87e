package replica

import (
	"github.com/decklever/decklever/internal/raft"
)

// member returns a member whose name and address are derived from its id.
func member(id string) raft.Member {
	return raft.Member{ID: raft.ReplicaID(id), Name: "name-" + id, Address: "address-" + id}
}

// members returns a membership with a voter for each id.
func members(ids ...string) raft.Membership {
	var membership raft.Membership
	for _, id := range ids {
		membership.Voters = append(membership.Voters, member(id))
	}
	return membership
}
