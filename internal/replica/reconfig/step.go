package reconfig

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// maxPromotionLag is how many entries a learner may lack when it becomes a voter.
const maxPromotionLag = 100

// Change is the kind of a change of the membership. Its text goes into the log.
type Change string

// Kinds of changes.
const (
	ChangeNone       Change = ""
	ChangeMemberData Change = "member data"
	ChangeAddLearner Change = "add learner"
	ChangePromote    Change = "make voter"
	ChangeRetire     Change = "retire voter"
)

// Step is the next thing to do for a replica that joins or retires. The zero Step says
// that nothing can be done yet.
type Step struct {
	// Voter reports that the newcomer votes.
	Voter bool
	// Standby reports that the newcomer has all that it needs and stays a learner
	// until a voter is unresponsive or retires.
	Standby bool
	Change  Change
	// Target is the membership after the change.
	Target raft.Membership
	// Replaces is the voter whose slot the learner takes; empty if the slot is new.
	Replaces raft.ReplicaID
	// Learner becomes a voter by the change, if one does.
	Learner raft.Member
	// Postponed is why the newcomer has to wait until somebody acts or a voter
	// becomes unresponsive; empty if it has not.
	Postponed string
}

// Query is all that decides the next step of a newcomer.
type Query struct {
	// Member is the newcomer, as it describes itself.
	Member raft.Member
	// ArchiveCopied is true once it holds the archive of ended jobs.
	ArchiveCopied bool
	// Status is that of the leader's node.
	Status raft.Status
	// Now is on the clock of Status, as is Progress.LastSeen.
	Now time.Duration
	// VoterTimeout is how long a voter must have been out of contact to be replaced.
	VoterTimeout time.Duration
	// MaxVoters is the number of voters up to which slots are added.
	MaxVoters int
}

// NextStep decides the next step of a newcomer. It first becomes a learner. Once it has
// caught up and holds the archive, one joint change gives it the slot of a voter that is
// gone, or a new slot if there are few. Else it stands by. During a joint change nothing
// is decided.
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

// voterStep changes the data of a voter, such as its zone, if they differ.
func voterStep(member raft.Member, current raft.Membership, slot int) Step {
	if current.Voters[slot] == member {
		return Step{Voter: true}
	}
	target := copyMembership(current)
	target.Voters[slot] = member
	return Step{Voter: true, Change: ChangeMemberData, Target: target}
}

// learnerStep adds the newcomer in place of an earlier learner of its name.
func learnerStep(member raft.Member, current raft.Membership) Step {
	target := copyMembership(current)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool {
		return learner.ID == member.ID || learner.Name == member.Name
	})
	target.Learners = append(target.Learners, member)
	return Step{Change: ChangeAddLearner, Target: target}
}

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

// promotionStep gives the newcomer a voter slot: that of the earlier replica of its own
// machine, else whichever voterSlotStep finds.
func promotionStep(q Query) Step {
	member, voters := q.Member, q.Status.Membership.Voters
	if same := slices.IndexFunc(voters, func(voter raft.Member) bool { return voter.Name == member.Name }); same >= 0 {
		return replaceSameMachineStep(q, voters[same])
	}
	return voterSlotStep(q)
}

// replaceSameMachineStep replaces the earlier replica of the same machine. At the same
// address there can be one process only, so the earlier one is gone; elsewhere it must
// be unresponsive first.
func replaceSameMachineStep(q Query, earlier raft.Member) Step {
	member := q.Member
	if earlier.Address != member.Address && !unresponsive(q, earlier.ID) {
		return Step{Postponed: fmt.Sprintf("replica %s of the same name at %s was last seen less than %v ago", earlier.ID, earlier.Address, q.VoterTimeout)}
	}
	return replaceStep(q.Status.Membership, member, earlier.ID)
}

// replaceStep gives the slot of a voter to a learner.
func replaceStep(current raft.Membership, learner raft.Member, replaced raft.ReplicaID) Step {
	target := withoutLearner(current, learner.ID)
	target.Voters[indexOf(target.Voters, replaced)] = learner
	return Step{Change: ChangePromote, Target: target, Replaces: replaced, Learner: learner}
}

// unresponsive reports that a voter was out of contact for the whole voterTimeout. A
// new leader counts each voter as seen when its term begins, so the time counts from
// there at the earliest.
func unresponsive(q Query, id raft.ReplicaID) bool {
	progress, known := progressOf(q.Status, id)
	return known && id != q.Status.ID && q.Now-progress.LastSeen > q.VoterTimeout
}

// HasRetired reports that a replica votes no more, or that nobody could take its slot.
func HasRetired(id raft.ReplicaID, membership raft.Membership) bool {
	votes := indexOf(membership.Voters, id) >= 0 || indexOf(membership.Outgoing, id) >= 0
	return !votes || len(membership.Learners) == 0
}

// NextRetireStep gives the slot of a voter that is about to stop to a learner that
// stands by and was seen within the timeout: the one that spreads the voters best over
// zones, and of those one of the voter's zone if there is one. Without such a learner
// the voter keeps its slot, as it may well come back.
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
	step, found := bestSpread(replacements(current, append(sameZone, otherZones...), []raft.ReplicaID{leaving}))
	if !found {
		return Step{}
	}
	step.Change = ChangeRetire
	return step
}

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
