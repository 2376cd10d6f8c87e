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
)

// joinStep is the next thing to do for a newcomer. All fields empty: wait.
type joinStep struct {
	voter    bool
	change   string
	target   raft.Membership
	replaces raft.ReplicaID
	// refusal is why the newcomer has to wait for a person or a silence.
	refusal string
}

func (l *loop) joinStep(request fleet.JoinRequest) joinStep {
	return nextJoinStep(joinQuestion{
		request: request,
		status:  l.node.Status(),
		now:     l.now(),
		silence: 2 * l.config.Timing.ElectionTimeoutMax,
	})
}

// joinQuestion is all that decides a joinStep. silence is how long a replica
// must not have been heard to be replaced.
type joinQuestion struct {
	request fleet.JoinRequest
	status  raft.Status
	now     time.Duration
	silence time.Duration
}

// nextJoinStep: a newcomer becomes a learner; once it has caught up, holds the
// archive, and the replica of the same name is silent, one joint change puts
// it in that one's place.
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

func promotionStep(q joinQuestion) joinStep {
	member := q.request.Member
	target := copyMembership(q.status.Membership)
	target.Learners = slices.DeleteFunc(target.Learners, func(learner raft.Member) bool { return learner.ID == member.ID })
	old := slices.IndexFunc(target.Voters, func(voter raft.Member) bool { return voter.Name == member.Name })
	if old < 0 {
		target.Voters = append(target.Voters, member)
		return joinStep{change: changeVoter, target: target}
	}
	replaced := target.Voters[old]
	if !silent(q, replaced.ID) {
		return joinStep{refusal: fmt.Sprintf("replica %s of the same name at %s was heard less than %v ago", replaced.ID, replaced.Address, q.silence)}
	}
	target.Voters[old] = member
	return joinStep{change: changeVoter, target: target, replaces: replaced.ID}
}

// silent: not heard for the whole silence. A leader notes each voter as heard
// when its term begins, so it counts from there at the earliest.
func silent(q joinQuestion, id raft.ReplicaID) bool {
	progress, known := progressOf(q.status, id)
	return known && id != q.status.ID && q.now-progress.LastSeen > q.silence
}

func copyMembership(membership raft.Membership) raft.Membership {
	return raft.Membership{
		Voters:   slices.Clone(membership.Voters),
		Outgoing: slices.Clone(membership.Outgoing),
		Learners: slices.Clone(membership.Learners),
	}
}
