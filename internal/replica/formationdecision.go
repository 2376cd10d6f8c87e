package replica

import (
	"fmt"
	"slices"
	"strings"

	"github.com/decklever/decklever/internal/raft"
)

// formationAction is what an empty replica does next.
type formationAction uint8

const (
	formationWait formationAction = iota
	formationPropose
	formationFound
	formationJoin
)

// formationDecision carries the membership to propose or found, or what is
// missing.
type formationDecision struct {
	action     formationAction
	membership raft.Membership
	missing    string
}

func waitFor(format string, args ...any) formationDecision {
	return formationDecision{action: formationWait, missing: fmt.Sprintf(format, args...)}
}

// decideFormation follows the rules at Replica.form. proposal is this replica's
// present one.
func decideFormation(self raft.ReplicaID, proposal raft.Membership, answers []seedAnswer) formationDecision {
	if decision, exists := decideExisting(self, answers); exists {
		return decision
	}
	if missing := missingSeeds(answers); len(missing) > 0 {
		return waitFor("%s", strings.Join(missing, "; "))
	}
	membership := foundingMembership(answers)
	if problem := membershipProblem(self, membership); problem != "" {
		return waitFor("%s", problem)
	}
	if !sameMembership(proposal, membership) {
		return formationDecision{action: formationPropose, membership: membership}
	}
	for _, seed := range answers {
		if !sameMembership(seed.answer.Membership, membership) {
			return waitFor("seed %s does not propose the same members yet", seed.address)
		}
	}
	return formationDecision{action: formationFound, membership: membership}
}

// decideJoin waits for a seed that belongs to a cluster.
func decideJoin(answers []seedAnswer) formationDecision {
	for _, seed := range answers {
		if seed.err == nil && !seed.answer.Empty {
			return formationDecision{action: formationJoin}
		}
	}
	return waitFor("no seed belongs to a cluster yet, and this replica may not form one")
}

// decideExisting looks for a seed that belongs to a cluster already.
func decideExisting(self raft.ReplicaID, answers []seedAnswer) (decision formationDecision, exists bool) {
	for _, seed := range answers {
		if seed.err != nil || seed.answer.Empty {
			continue
		}
		founded := seed.answer.Founded
		if founded != nil && indexOf(founded.Voters, self) >= 0 {
			return formationDecision{action: formationFound, membership: *founded}, true
		}
		decision, exists = formationDecision{action: formationJoin}, true
	}
	return decision, exists
}

func missingSeeds(answers []seedAnswer) []string {
	var missing []string
	for _, seed := range answers {
		switch {
		case seed.err != nil:
			missing = append(missing, fmt.Sprintf("seed %s does not answer: %v", seed.address, seed.err))
		case !seed.answer.Founder:
			missing = append(missing, fmt.Sprintf("seed %s does not wait to form a cluster", seed.address))
		}
	}
	return missing
}

// foundingMembership is every seed once, in the order of the ids.
func foundingMembership(answers []seedAnswer) raft.Membership {
	var voters []raft.Member
	for _, seed := range answers {
		if indexOf(voters, seed.answer.Member.ID) < 0 {
			voters = append(voters, seed.answer.Member)
		}
	}
	slices.SortFunc(voters, func(a, b raft.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return raft.Membership{Voters: voters}
}

func membershipProblem(self raft.ReplicaID, membership raft.Membership) string {
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
