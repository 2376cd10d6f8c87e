package transport

import (
	"github.com/decklever/decklever/internal/raft"
)

func member(id string) raft.Member {
	return raft.Member{ID: raft.ReplicaID(id), Name: "name-" + id, Address: "address-" + id}
}

func members(ids ...string) raft.Membership {
	var membership raft.Membership
	for _, id := range ids {
		membership.Voters = append(membership.Voters, member(id))
	}
	return membership
}
