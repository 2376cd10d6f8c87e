package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
)

// Changes of the membership for a newcomer, for the log.
const (
	changeMemberData = "member data"
	changeAddLearner = "add learner"
	changePromote    = "make voter"
	changeRetire     = "retire voter"
)

// joinStep is the next thing to do for a newcomer. All fields empty: wait.
type membershipStep struct {
	voter bool
	// standby: the newcomer has all that it needs and stays a learner until a
	// voter is silent or retires.
	standby  bool
	change   string
	target   raft.Membership
	replaces raft.ReplicaID
	// learner is the learner that takes the place, if one does.
	learner raft.Member
	// refusal is why the newcomer has to wait for a person or a silence.
	postponed string
}

func (l *loop) nextMembershipStep(request protocol.JoinRequest) membershipStep {
	return nextMembershipStep(membershipQuery{
		request:      request,
		status:       l.node.Status(),
		now:          l.now(),
		voterTimeout: 2 * l.config.Timing.ElectionTimeoutMax,
		maxVoters:    l.config.MaxVoters,
	})
}

// membershipQuery is all that decides a joinStep. silence is how long a replica
// must not have been heard to be replaced; maxVoters is the number of voters up
// to which a newcomer becomes one beside the others.
type membershipQuery struct {
	request      protocol.JoinRequest
	status       raft.Status
	now          time.Duration
	voterTimeout time.Duration
	maxVoters    int
}

// nextMembershipStep: a newcomer becomes a learner. Once it has caught up and holds
// the archive, one joint change puts it in the place of a voter that is gone,
// or beside the others if there are few. Else it stands by.
func nextMembershipStep(q membershipQuery) membershipStep {
	member, current := q.request.Member, q.status.Membership
	if len(current.Outgoing) > 0 {
		return membershipStep{}
	}
	if i := indexOf(current.Voters, member.ID); i >= 0 {
		return voterStep(member, current, i)
	}
	if i := indexOf(current.Learners, member.ID); i < 0 || current.Learners[i] != member {
		return learnerStep(member, current)
	}
	if !q.request.ArchiveCopied || !caughtUp(q.status, member.ID) {
		return membershipStep{}
	}
	return promotionStep(q)
}

// voterStep changes only where the member is.
func voterStep(member raft.Member, current raft.Membership, place int) membershipStep {
	if current.Voters[place] == member {
		return membershipStep{voter: true}
	}
	target := copyMembership(current)
	target.Voters[place] = member
	return membershipStep{voter: true, change: changeMemberData, target: target}
}

// learnerStep adds the newcomer in place of an earlier learner of its name.
func learnerStep(member raft.Member, current raft.Membership) membershipStep {
	target := copyMembership(current)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool {
		return learner.ID == member.ID || learner.Name == member.Name
	})
	target.Learners = append(target.Learners, member)
	return membershipStep{change: changeAddLearner, target: target}
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

// promotionStep finds the newcomer's place among the voters: that of the
// earlier replica of its own machine, else whatever seat is free.
func promotionStep(q membershipQuery) membershipStep {
	member, voters := q.request.Member, q.status.Membership.Voters
	if same := slices.IndexFunc(voters, func(voter raft.Member) bool { return voter.Name == member.Name }); same >= 0 {
		return replaceSameMachineStep(q, voters[same])
	}
	return voterSlotStep(q)
}

// replaceSameMachineStep replaces the earlier replica of the same machine. At the same
// address there can be one process only, so that the earlier one is gone;
// elsewhere it must be silent first.
func replaceSameMachineStep(q membershipQuery, earlier raft.Member) membershipStep {
	member := q.request.Member
	if earlier.Address != member.Address && !unresponsive(q, earlier.ID) {
		return membershipStep{postponed: fmt.Sprintf("replica %s of the same name at %s was heard less than %v ago", earlier.ID, earlier.Address, q.voterTimeout)}
	}
	return replaceStep(q.status.Membership, member, earlier.ID)
}

// replaceStep puts a learner in the place of a voter.
func replaceStep(current raft.Membership, learner raft.Member, gone raft.ReplicaID) membershipStep {
	target := withoutLearner(current, learner.ID)
	target.Voters[indexOf(target.Voters, gone)] = learner
	return membershipStep{change: changePromote, target: target, replaces: gone, learner: learner}
}

// unresponsive: not heard for the whole silence. A leader notes each voter as heard
// when its term begins, so it counts from there at the earliest.
func unresponsive(q membershipQuery, id raft.ReplicaID) bool {
	progress, known := progressOf(q.status, id)
	return known && id != q.status.ID && q.now-progress.LastSeen > q.voterTimeout
}

// hasRetired: the replica votes no more, or nobody could take its seat.
func hasRetired(id raft.ReplicaID, membership raft.Membership) bool {
	votes := indexOf(membership.Voters, id) >= 0 || indexOf(membership.Outgoing, id) >= 0
	return !votes || len(membership.Learners) == 0
}

// nextRetireStep gives the seat of a voter that is about to stop to a learner
// that stands by: the one that spreads the voters best over zones, of those one
// of the same zone if there is one. Without such a learner the seat stays with
// the voter, which may well come back.
func nextRetireStep(leaving raft.ReplicaID, status raft.Status, now, silence time.Duration) membershipStep {
	current := status.Membership
	place := indexOf(current.Voters, leaving)
	if place < 0 || len(current.Outgoing) > 0 {
		return membershipStep{}
	}
	var near, far []raft.Member
	for _, learner := range current.Learners {
		progress, known := progressOf(status, learner.ID)
		if !known || now-progress.LastSeen > silence || !caughtUp(status, learner.ID) {
			continue
		}
		if learner.Zone == current.Voters[place].Zone {
			near = append(near, learner)
		} else {
			far = append(far, learner)
		}
	}
	step, found := bestSpread(replacements(current, append(near, far...), []raft.ReplicaID{leaving}))
	if !found {
		return membershipStep{}
	}
	step.change = changeRetire
	return step
}

func withoutLearner(membership raft.Membership, id raft.ReplicaID) raft.Membership {
	target := copyMembership(membership)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool { return learner.ID == id })
	return target
}

func copyMembership(membership raft.Membership) raft.Membership {
	return raft.Membership{
		Voters:   slices.Clone(membership.Voters),
		Outgoing: slices.Clone(membership.Outgoing),
		Learners: slices.Clone(membership.Learners),
	}
}
