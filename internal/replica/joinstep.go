package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/raft"
)

// Changes of the membership for a newcomer, for the log.
const (
	changeData    = "member data"
	changeLearner = "add learner"
	changeVoter   = "make voter"
	changeRetire  = "retire voter"
)

// joinStep is the next thing to do for a newcomer. All fields empty: wait.
type joinStep struct {
	voter bool
	// standby: the newcomer has all that it needs and stays a learner until a
	// voter is silent or retires.
	standby  bool
	change   string
	target   raft.Membership
	replaces raft.ReplicaID
	// newcomer is the learner that takes the place, if one does.
	newcomer raft.Member
	// refusal is why the newcomer has to wait for a person or a silence.
	refusal string
}

func (l *loop) joinStep(request fleet.JoinRequest) joinStep {
	return nextJoinStep(joinQuestion{
		request:   request,
		status:    l.node.Status(),
		now:       l.now(),
		silence:   2 * l.config.Timing.ElectionTimeoutMax,
		maxVoters: l.config.MaxVoters,
	})
}

// joinQuestion is all that decides a joinStep. silence is how long a replica
// must not have been heard to be replaced; maxVoters is the number of voters up
// to which a newcomer becomes one beside the others.
type joinQuestion struct {
	request   fleet.JoinRequest
	status    raft.Status
	now       time.Duration
	silence   time.Duration
	maxVoters int
}

// nextJoinStep: a newcomer becomes a learner. Once it has caught up and holds
// the archive, one joint change puts it in the place of a voter that is gone,
// or beside the others if there are few. Else it stands by.
func nextJoinStep(q joinQuestion) joinStep {
	member, current := q.request.Member, q.status.Membership
	if len(current.Outgoing) > 0 {
		return joinStep{}
	}
	if i := indexOf(current.Voters, member.ID); i >= 0 {
		return voterStep(member, current, i)
	}
	if i := indexOf(current.Learners, member.ID); i < 0 || current.Learners[i] != member {
		return learnerStep(member, current)
	}
	if !q.request.ArchiveCopied || !caughtUp(q.status, member.ID) {
		return joinStep{}
	}
	return promotionStep(q)
}

// voterStep changes only where the member is.
func voterStep(member raft.Member, current raft.Membership, place int) joinStep {
	if current.Voters[place] == member {
		return joinStep{voter: true}
	}
	target := copyMembership(current)
	target.Voters[place] = member
	return joinStep{voter: true, change: changeData, target: target}
}

// learnerStep adds the newcomer in place of an earlier learner of its name.
func learnerStep(member raft.Member, current raft.Membership) joinStep {
	target := copyMembership(current)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool {
		return learner.ID == member.ID || learner.Name == member.Name
	})
	target.Learners = append(target.Learners, member)
	return joinStep{change: changeLearner, target: target}
}

func caughtUp(status raft.Status, id raft.ReplicaID) bool {
	progress, known := progressOf(status, id)
	return known && !progress.NeedsSnapshot && progress.Match+maxJoinLag >= status.LastIndex
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
func promotionStep(q joinQuestion) joinStep {
	member, voters := q.request.Member, q.status.Membership.Voters
	if same := slices.IndexFunc(voters, func(voter raft.Member) bool { return voter.Name == member.Name }); same >= 0 {
		return ownPlaceStep(q, voters[same])
	}
	return seatStep(q)
}

// ownPlaceStep replaces the earlier replica of the same machine. At the same
// address there can be one process only, so that the earlier one is gone;
// elsewhere it must be silent first.
func ownPlaceStep(q joinQuestion, earlier raft.Member) joinStep {
	member := q.request.Member
	if earlier.Address != member.Address && !silent(q, earlier.ID) {
		return joinStep{refusal: fmt.Sprintf("replica %s of the same name at %s was heard less than %v ago", earlier.ID, earlier.Address, q.silence)}
	}
	return replaceStep(q.status.Membership, member, earlier.ID)
}

// replaceStep puts a learner in the place of a voter.
func replaceStep(current raft.Membership, learner raft.Member, gone raft.ReplicaID) joinStep {
	target := withoutLearner(current, learner.ID)
	target.Voters[indexOf(target.Voters, gone)] = learner
	return joinStep{change: changeVoter, target: target, replaces: gone, newcomer: learner}
}

// silent: not heard for the whole silence. A leader notes each voter as heard
// when its term begins, so it counts from there at the earliest.
func silent(q joinQuestion, id raft.ReplicaID) bool {
	progress, known := progressOf(q.status, id)
	return known && id != q.status.ID && q.now-progress.LastSeen > q.silence
}

// retired: the replica votes no more, or nobody could take its seat.
func retired(id raft.ReplicaID, membership raft.Membership) bool {
	votes := indexOf(membership.Voters, id) >= 0 || indexOf(membership.Outgoing, id) >= 0
	return !votes || len(membership.Learners) == 0
}

// nextRetireStep gives the seat of a voter that is about to stop to a learner
// that stands by: the one that spreads the voters best over zones, of those one
// of the same zone if there is one. Without such a learner the seat stays with
// the voter, which may well come back.
func nextRetireStep(leaving raft.ReplicaID, status raft.Status, now, silence time.Duration) joinStep {
	current := status.Membership
	place := indexOf(current.Voters, leaving)
	if place < 0 || len(current.Outgoing) > 0 {
		return joinStep{}
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
	step, found := lightest(replacements(current, append(near, far...), []raft.ReplicaID{leaving}))
	if !found {
		return joinStep{}
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
