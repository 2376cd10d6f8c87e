package replica

import (
	"errors"
	"slices"
	"testing"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
)

// bootstrappingSeed returns the response of a seed that takes part in the bootstrap with the
// proposal.
func bootstrappingSeed(id string, proposal raft.Membership) seedResponse {
	return seedResponse{address: id, identity: protocol.IdentityAnswer{Member: member(id), Empty: true, Bootstrapping: true, Membership: proposal}}
}

// TestDecideBootstrap_FollowsSeedResponses checks the rules documented at bootstrapper.run
// for replica a.
func TestDecideBootstrap_FollowsSeedResponses(t *testing.T) {
	all := members("a", "b", "c")
	unreachable := seedResponse{address: "c", err: errors.New("refused")}
	inCluster := func(created raft.Membership) seedResponse {
		return seedResponse{address: "c", identity: protocol.IdentityAnswer{Member: member("c"), InitialMembership: &created}}
	}
	joinOnly := seedResponse{address: "c", identity: protocol.IdentityAnswer{Member: member("c"), Empty: true}}
	sameName := bootstrappingSeed("c", raft.Membership{})
	sameName.identity.Member.Name = "name-a"
	cases := map[string]struct {
		proposal   raft.Membership
		responses  []seedResponse
		want       bootstrapAction
		membership raft.Membership
	}{
		"no proposal yet":                 {raft.Membership{}, []seedResponse{bootstrappingSeed("c", all), bootstrappingSeed("a", raft.Membership{}), bootstrappingSeed("b", all)}, bootstrapPropose, all},
		"one proposes nothing yet":        {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", raft.Membership{}), bootstrappingSeed("c", all)}, bootstrapWait, raft.Membership{}},
		"one proposes others":             {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", members("b", "c")), bootstrappingSeed("c", all)}, bootstrapWait, raft.Membership{}},
		"all propose the same":            {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("c", all), bootstrappingSeed("b", all), bootstrappingSeed("b", all)}, bootstrapCreate, all},
		"new id after the loss of a disk": {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), bootstrappingSeed("d", raft.Membership{})}, bootstrapPropose, members("a", "b", "d")},
		"one unreachable":                 {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), unreachable}, bootstrapWait, raft.Membership{}},
		"one may only join":               {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), joinOnly}, bootstrapWait, raft.Membership{}},
		"two of the same name":            {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), sameName}, bootstrapWait, raft.Membership{}},
		"own address not a seed":          {all, []seedResponse{bootstrappingSeed("b", all), bootstrappingSeed("c", all)}, bootstrapWait, raft.Membership{}},
		"created with this replica":       {raft.Membership{}, []seedResponse{bootstrappingSeed("a", all), unreachable, inCluster(all)}, bootstrapCreate, all},
		"created without this replica":    {all, []seedResponse{bootstrappingSeed("a", all), unreachable, inCluster(members("b", "c", "x"))}, bootstrapJoin, raft.Membership{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := decideBootstrap("a", c.proposal, c.responses)
			if got.action != c.want || !sameMembership(got.membership, c.membership) {
				t.Fatalf("got %+v, want action %d with %v", got, c.want, c.membership)
			}
			if (got.reason == "") == (got.action == bootstrapWait) {
				t.Fatalf("got reason %q, want a reason only for bootstrapWait", got.reason)
			}
		})
	}
}

func TestDecideJoin_NeverCreatesCluster(t *testing.T) {
	empty := []seedResponse{bootstrappingSeed("a", members("a", "b")), bootstrappingSeed("b", members("a", "b"))}
	if got := decideJoin(empty); got.action != bootstrapWait || got.reason == "" {
		t.Fatalf("empty seeds: got %+v, want bootstrapWait with a reason", got)
	}
	mixed := append(slices.Clone(empty), seedResponse{address: "c", identity: protocol.IdentityAnswer{Member: member("c")}})
	if got := decideJoin(mixed); got.action != bootstrapJoin {
		t.Fatalf("one seed belongs to a cluster: got %+v, want bootstrapJoin", got)
	}
	unreachable := []seedResponse{{address: "c", err: errors.New("refused")}}
	if got := decideJoin(unreachable); got.action != bootstrapWait {
		t.Fatalf("unreachable seed: got %+v, want bootstrapWait", got)
	}
}
