package reconfig

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// maxPromotionLag is the maximum number of log entries that a learner may lack when it
// becomes a voter.
const maxPromotionLag = 100

// Change is the kind of a membership change. Its text is used in log lines.
type Change string

// Kinds of membership changes.
const (
	ChangeNone       Change = ""
	ChangeMemberData Change = "member data"
	ChangeAddLearner Change = "add learner"
	ChangePromote    Change = "make voter"
	ChangeRetire     Change = "retire voter"
)

// Step is the next step for a replica that joins or retires. The zero Step means that
// nothing can be done yet.
type Step struct {
	// Voter reports that the newcomer is a voter.
	Voter bool
	// Standby reports that the newcomer is ready to vote, and stays a learner until a
	// voter slot becomes available.
	Standby bool
	// Change is the membership change to propose; ChangeNone if there is none.
	Change Change
	// Target is the membership after the change.
	Target raft.Membership
	// Replaces is the voter whose slot the learner takes; empty if the slot is new.
	Replaces raft.ReplicaID
	// Learner is the learner that the change makes a voter, or the first of two; zero
	// if the change makes none.
	Learner raft.Member
	// PostponedReason is why the newcomer must wait until an operator acts or a voter
	// becomes unresponsive; empty if it need not wait.
	PostponedReason string
}

// Query is the input of NextStep.
type Query struct {
	// Member is the newcomer, with the member data of its request.
	Member raft.Member
	// ArchiveCopied is true once the newcomer has copied the archive of ended jobs.
	ArchiveCopied bool
	// Status is the status of the leader's raft node.
	Status raft.Status
	// Now is the time on the clock of Status and Progress.LastSeen.
	Now time.Duration
	// VoterTimeout is how long a voter must have been out of contact to be replaced.
	VoterTimeout time.Duration
	// MaxVoters is the number of voters up to which new slots are added.
	MaxVoters int
}

// NextStep decides the next step of a newcomer. The newcomer first becomes a learner. Once
// it has caught up and holds the archive, one joint change gives it the slot of another
// voter, or a new slot; see voterSlotStep. If no slot is available, it stands by. While a
// joint change is in progress, NextStep returns the zero Step.
func NextStep(q Query) Step {
	member, current := q.Member, q.Status.Membership
	if len(current.Outgoing) > 0 {
		return Step{}
	}
	if i := indexOf(current.Voters, member.ID); i >= 0 {
		return voterStep(member, current, i)
	}
	if i := indexOf(current.Learners, member.ID); i < 0 || current.Learners[i] != member {
		return learnerStep(member, current)
	}
	if !q.ArchiveCopied || !caughtUp(q.Status, member.ID) {
		return Step{}
	}
	return promotionStep(q)
}

// voterStep updates the member data of a voter, such as its zone, if they changed.
func voterStep(member raft.Member, current raft.Membership, slot int) Step {
	if current.Voters[slot] == member {
		return Step{Voter: true}
	}
	target := copyMembership(current)
	target.Voters[slot] = member
	return Step{Voter: true, Change: ChangeMemberData, Target: target}
}

// learnerStep adds the newcomer as a learner. It replaces any learner with the same id or
// name.
func learnerStep(member raft.Member, current raft.Membership) Step {
	target := copyMembership(current)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool {
		return learner.ID == member.ID || learner.Name == member.Name
	})
	target.Learners = append(target.Learners, member)
	return Step{Change: ChangeAddLearner, Target: target}
}

// caughtUp reports whether a replica needs no snapshot and lacks at most maxPromotionLag
// entries.
func caughtUp(status raft.Status, id raft.ReplicaID) bool {
	progress, known := progressOf(status, id)
	return known && !progress.NeedsSnapshot && progress.Match+maxPromotionLag >= status.LastIndex
}

func progressOf(status raft.Status, id raft.ReplicaID) (raft.Progress, bool) {
	for _, progress := range status.Progress {
		if progress.ID == id {
			return progress, true
		}
	}
	return raft.Progress{}, false
}

// promotionStep gives the newcomer a voter slot: the slot of the earlier replica of the
// same machine if that is a voter, otherwise the slot that voterSlotStep chooses.
func promotionStep(q Query) Step {
	member, voters := q.Member, q.Status.Membership.Voters
	if same := slices.IndexFunc(voters, func(voter raft.Member) bool { return voter.Name == member.Name }); same >= 0 {
		return replaceSameMachineStep(q, voters[same])
	}
	return voterSlotStep(q)
}

// replaceSameMachineStep replaces the earlier replica of the same machine. If both have
// the same address, the earlier one no longer runs, since only one process can listen
// there. Otherwise the earlier one is replaced only once it is unresponsive.
func replaceSameMachineStep(q Query, earlier raft.Member) Step {
	member := q.Member
	if earlier.Address != member.Address && !unresponsive(q, earlier.ID) {
		return Step{PostponedReason: fmt.Sprintf("replica %s of the same name at %s was last seen less than %v ago", earlier.ID, earlier.Address, q.VoterTimeout)}
	}
	return replaceStep(q.Status.Membership, member, earlier.ID)
}

// replaceStep gives the slot of the voter replaced to a learner.
func replaceStep(current raft.Membership, learner raft.Member, replaced raft.ReplicaID) Step {
	target := withoutLearner(current, learner.ID)
	target.Voters[indexOf(target.Voters, replaced)] = learner
	return Step{Change: ChangePromote, Target: target, Replaces: replaced, Learner: learner}
}

// unresponsive reports whether a voter other than the leader has been out of contact for
// longer than VoterTimeout. A new leader counts each voter as seen when its term begins,
// so the timeout starts no earlier than the term.
func unresponsive(q Query, id raft.ReplicaID) bool {
	progress, known := progressOf(q.Status, id)
	return known && id != q.Status.ID && q.Now-progress.LastSeen > q.VoterTimeout
}

// HasRetired reports whether a replica no longer votes, or there is no learner that could
// take its slot.
func HasRetired(id raft.ReplicaID, membership raft.Membership) bool {
	votes := indexOf(membership.Voters, id) >= 0 || indexOf(membership.Outgoing, id) >= 0
	return !votes || len(membership.Learners) == 0
}

// NextRetireStep gives the slot of a voter that is about to stop to a learner that has
// caught up and was seen within the timeout. It prefers the learner that gives the best
// spread of voters over zones, and among equal ones a learner in the zone of the voter. If
// no learner qualifies, it returns the zero Step: the voter keeps its slot, as it may return.
func NextRetireStep(leaving raft.ReplicaID, status raft.Status, now, timeout time.Duration) Step {
	current := status.Membership
	slot := indexOf(current.Voters, leaving)
	if slot < 0 || len(current.Outgoing) > 0 {
		return Step{}
	}
	var sameZone, otherZones []raft.Member
	for _, learner := range current.Learners {
		progress, known := progressOf(status, learner.ID)
		if !known || now-progress.LastSeen > timeout || !caughtUp(status, learner.ID) {
			continue
		}
		if learner.Zone == current.Voters[slot].Zone {
			sameZone = append(sameZone, learner)
		} else {
			otherZones = append(otherZones, learner)
		}
	}
	step, found := bestSpreadStep(replacementSteps(current, append(sameZone, otherZones...), []raft.ReplicaID{leaving}))
	if !found {
		return Step{}
	}
	step.Change = ChangeRetire
	return step
}

// indexOf returns the index of the member with the id, or -1.
func indexOf(members []raft.Member, id raft.ReplicaID) int {
	return slices.IndexFunc(members, func(member raft.Member) bool { return member.ID == id })
}

func copyMembership(membership raft.Membership) raft.Membership {
	return raft.Membership{
		Voters:   slices.Clone(membership.Voters),
		Outgoing: slices.Clone(membership.Outgoing),
		Learners: slices.Clone(membership.Learners),
	}
}

func withoutLearner(membership raft.Membership, id raft.ReplicaID) raft.Membership {
	target := copyMembership(membership)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool { return learner.ID == id })
	return target
}
