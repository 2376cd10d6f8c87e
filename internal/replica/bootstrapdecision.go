package replica

import (
	"fmt"
	"slices"
	"strings"

	"github.com/decklever/decklever/internal/raft"
)

// bootstrapAction is the next action of an empty replica.
type bootstrapAction uint8

const (
	// bootstrapWait waits, for the reason in the decision.
	bootstrapWait bootstrapAction = iota
	// bootstrapPropose proposes the membership in the decision.
	bootstrapPropose
	// bootstrapCreate creates the cluster with the membership in the decision.
	bootstrapCreate
	// bootstrapJoin joins the cluster that a seed belongs to.
	bootstrapJoin
)

// bootstrapDecision is the next action of an empty replica, with its argument.
type bootstrapDecision struct {
	action     bootstrapAction
	membership raft.Membership // set for bootstrapPropose and bootstrapCreate
	reason     string          // set for bootstrapWait
}

func waitDecision(format string, args ...any) bootstrapDecision {
	return bootstrapDecision{action: bootstrapWait, reason: fmt.Sprintf(format, args...)}
}

// decideBootstrap applies the rules documented at bootstrapper.run. proposal is the
// membership that this replica currently proposes.
func decideBootstrap(self raft.ReplicaID, proposal raft.Membership, responses []seedResponse) bootstrapDecision {
	if decision, exists := decideExistingCluster(self, responses); exists {
		return decision
	}
	if unready := unreadySeeds(responses); len(unready) > 0 {
		return waitDecision("%s", strings.Join(unready, "; "))
	}
	membership := bootstrapMembership(responses)
	if reason := invalidMembershipReason(self, membership); reason != "" {
		return waitDecision("%s", reason)
	}
	if !sameMembership(proposal, membership) {
		return bootstrapDecision{action: bootstrapPropose, membership: membership}
	}
	for _, seed := range responses {
		if !sameMembership(seed.identity.Membership, membership) {
			return waitDecision("seed %s does not propose the same members yet", seed.address)
		}
	}
	return bootstrapDecision{action: bootstrapCreate, membership: membership}
}

// decideJoin decides to join once a seed belongs to a cluster, and to wait until then.
func decideJoin(responses []seedResponse) bootstrapDecision {
	for _, seed := range responses {
		if seed.err == nil && !seed.identity.Empty {
			return bootstrapDecision{action: bootstrapJoin}
		}
	}
	return waitDecision("no seed belongs to a cluster yet, and this replica may not create one")
}

// decideExistingCluster looks for a seed that already belongs to a cluster; exists is
// false if there is none. A seed whose initial membership lists this replica takes
// precedence: this replica then creates the same cluster instead of joining it.
func decideExistingCluster(self raft.ReplicaID, responses []seedResponse) (decision bootstrapDecision, exists bool) {
	for _, seed := range responses {
		if seed.err != nil || seed.identity.Empty {
			continue
		}
		created := seed.identity.InitialMembership
		if created != nil && indexOf(created.Voters, self) >= 0 {
			return bootstrapDecision{action: bootstrapCreate, membership: *created}, true
		}
		decision, exists = bootstrapDecision{action: bootstrapJoin}, true
	}
	return decision, exists
}

// unreadySeeds returns one reason for each seed that takes no part in the bootstrap.
func unreadySeeds(responses []seedResponse) []string {
	var unready []string
	for _, seed := range responses {
		switch {
		case seed.err != nil:
			unready = append(unready, fmt.Sprintf("seed %s does not answer: %v", seed.address, seed.err))
		case !seed.identity.Bootstrapping:
			unready = append(unready, fmt.Sprintf("seed %s takes no part in the bootstrap", seed.address))
		}
	}
	return unready
}

// bootstrapMembership returns a membership with every seed as a voter, sorted by id and
// without duplicates.
func bootstrapMembership(responses []seedResponse) raft.Membership {
	var voters []raft.Member
	for _, seed := range responses {
		if indexOf(voters, seed.identity.Member.ID) < 0 {
			voters = append(voters, seed.identity.Member)
		}
	}
	slices.SortFunc(voters, func(a, b raft.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return raft.Membership{Voters: voters}
}

// invalidMembershipReason returns why no cluster may be created with the membership, or
// the empty string if it is valid.
func invalidMembershipReason(self raft.ReplicaID, membership raft.Membership) string {
	idByName := make(map[string]raft.ReplicaID)
	for _, voter := range membership.Voters {
		if other, taken := idByName[voter.Name]; taken {
			return fmt.Sprintf("replicas %s and %s have the same name %s", other, voter.ID, voter.Name)
		}
		idByName[voter.Name] = voter.ID
	}
	if indexOf(membership.Voters, self) < 0 {
		return "the address of this replica is not among the seeds"
	}
	return ""
}
