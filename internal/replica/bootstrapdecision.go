package replica

import (
	"fmt"
	"slices"
	"strings"

	"github.com/decklever/decklever/internal/raft"
)

// bootstrapAction is what an empty replica does next.
type bootstrapAction uint8

const (
	// bootstrapWait waits for the reason given in the decision.
	bootstrapWait bootstrapAction = iota
	// bootstrapPropose proposes the membership.
	bootstrapPropose
	// bootstrapCreate starts from the membership, as all its members do.
	bootstrapCreate
	// bootstrapJoin joins the cluster of a seed.
	bootstrapJoin
)

// bootstrapDecision is an action with the membership that it takes, or the reason to
// wait.
type bootstrapDecision struct {
	action     bootstrapAction
	membership raft.Membership
	reason     string
}

func waitBecause(format string, args ...any) bootstrapDecision {
	return bootstrapDecision{action: bootstrapWait, reason: fmt.Sprintf(format, args...)}
}

// decideBootstrap follows the rules at bootstrapper.run. proposal is the current one of
// this replica.
func decideBootstrap(self raft.ReplicaID, proposal raft.Membership, responses []seedResponse) bootstrapDecision {
	if decision, exists := decideExistingCluster(self, responses); exists {
		return decision
	}
	if unready := unreadySeeds(responses); len(unready) > 0 {
		return waitBecause("%s", strings.Join(unready, "; "))
	}
	membership := bootstrapMembership(responses)
	if reason := invalidMembershipReason(self, membership); reason != "" {
		return waitBecause("%s", reason)
	}
	if !sameMembership(proposal, membership) {
		return bootstrapDecision{action: bootstrapPropose, membership: membership}
	}
	for _, seed := range responses {
		if !sameMembership(seed.identity.Membership, membership) {
			return waitBecause("seed %s does not propose the same members yet", seed.address)
		}
	}
	return bootstrapDecision{action: bootstrapCreate, membership: membership}
}

// decideJoin waits for a seed that belongs to a cluster.
func decideJoin(responses []seedResponse) bootstrapDecision {
	for _, seed := range responses {
		if seed.err == nil && !seed.identity.Empty {
			return bootstrapDecision{action: bootstrapJoin}
		}
	}
	return waitBecause("no seed belongs to a cluster yet, and this replica may not create one")
}

// decideExistingCluster looks for a seed that belongs to a cluster already. One whose
// first membership lists this replica goes before all others.
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

// unreadySeeds says of each seed that takes no part in the bootstrap why not.
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

// bootstrapMembership has every seed once, in the order of the ids.
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

// invalidMembershipReason says why no cluster may be created of the membership; empty
// if it may.
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
