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
	bootstrapWait bootstrapAction = iota
	bootstrapPropose
	bootstrapCreate
	bootstrapJoin
)

// bootstrapDecision carries the membership to propose or found, or what is
// missing.
type bootstrapDecision struct {
	action     bootstrapAction
	membership raft.Membership
	reason     string
}

func waitBecause(format string, args ...any) bootstrapDecision {
	return bootstrapDecision{action: bootstrapWait, reason: fmt.Sprintf(format, args...)}
}

// decideBootstrap follows the rules at Replica.form. proposal is this replica's
// present one.
func decideBootstrap(self raft.ReplicaID, proposal raft.Membership, answers []seedResponse) bootstrapDecision {
	if decision, exists := decideExistingCluster(self, answers); exists {
		return decision
	}
	if missing := unreadySeeds(answers); len(missing) > 0 {
		return waitBecause("%s", strings.Join(missing, "; "))
	}
	membership := bootstrapMembership(answers)
	if problem := invalidMembershipReason(self, membership); problem != "" {
		return waitBecause("%s", problem)
	}
	if !sameMembership(proposal, membership) {
		return bootstrapDecision{action: bootstrapPropose, membership: membership}
	}
	for _, seed := range answers {
		if !sameMembership(seed.identity.Membership, membership) {
			return waitBecause("seed %s does not propose the same members yet", seed.address)
		}
	}
	return bootstrapDecision{action: bootstrapCreate, membership: membership}
}

// decideJoin waits for a seed that belongs to a cluster.
func decideJoin(answers []seedResponse) bootstrapDecision {
	for _, seed := range answers {
		if seed.err == nil && !seed.identity.Empty {
			return bootstrapDecision{action: bootstrapJoin}
		}
	}
	return waitBecause("no seed belongs to a cluster yet, and this replica may not form one")
}

// decideExistingCluster looks for a seed that belongs to a cluster already.
func decideExistingCluster(self raft.ReplicaID, answers []seedResponse) (decision bootstrapDecision, exists bool) {
	for _, seed := range answers {
		if seed.err != nil || seed.identity.Empty {
			continue
		}
		founded := seed.identity.InitialMembership
		if founded != nil && indexOf(founded.Voters, self) >= 0 {
			return bootstrapDecision{action: bootstrapCreate, membership: *founded}, true
		}
		decision, exists = bootstrapDecision{action: bootstrapJoin}, true
	}
	return decision, exists
}

func unreadySeeds(answers []seedResponse) []string {
	var missing []string
	for _, seed := range answers {
		switch {
		case seed.err != nil:
			missing = append(missing, fmt.Sprintf("seed %s does not answer: %v", seed.address, seed.err))
		case !seed.identity.Bootstrapping:
			missing = append(missing, fmt.Sprintf("seed %s does not wait to form a cluster", seed.address))
		}
	}
	return missing
}

// bootstrapMembership is every seed once, in the order of the ids.
func bootstrapMembership(answers []seedResponse) raft.Membership {
	var voters []raft.Member
	for _, seed := range answers {
		if indexOf(voters, seed.identity.Member.ID) < 0 {
			voters = append(voters, seed.identity.Member)
		}
	}
	slices.SortFunc(voters, func(a, b raft.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return raft.Membership{Voters: voters}
}

func invalidMembershipReason(self raft.ReplicaID, membership raft.Membership) string {
	names := make(map[string]raft.ReplicaID)
	for _, voter := range membership.Voters {
		if other, taken := names[voter.Name]; taken {
			return fmt.Sprintf("replicas %s and %s have the same name %s", other, voter.ID, voter.Name)
		}
		names[voter.Name] = voter.ID
	}
	if indexOf(membership.Voters, self) < 0 {
		return "the own address is not among the seeds"
	}
	return ""
}
