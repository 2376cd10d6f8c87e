package replica

import (
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// zoneWeight says how badly voters are spread over zones; less is better.
type zoneWeight struct {
	// decides: without some one zone, the rest is no majority.
	decides bool
	// most is the number of voters in the zone with most of them.
	most int
}

func (w zoneWeight) lighterThan(other zoneWeight) bool {
	if w.decides != other.decides {
		return other.decides
	}
	return w.most < other.most
}

func weighZones(voters []raft.Member) zoneWeight {
	most, counts := 0, make(map[string]int)
	for _, voter := range voters {
		counts[voter.Zone]++
		most = max(most, counts[voter.Zone])
	}
	return zoneWeight{decides: len(voters)-most < len(voters)/2+1, most: most}
}

// seatStep gives a seat to a learner that has caught up, best the one that
// asked: that of a voter that is silent; else one more if there are few, but
// none that lets one zone decide; else one of a zone that decides already. Of
// several ways the one with the voters spread best over zones is taken.
func seatStep(q joinQuestion) joinStep {
	current, learners := q.status.Membership, readyLearners(q)
	if step, found := lightest(replacements(current, learners, silentVoters(q))); found {
		return step
	}
	present := weighZones(current.Voters)
	grown, canGrow := lightest(growths(current, learners, q.maxVoters))
	if canGrow && !weighZones(grown.target.Voters).decides {
		return grown
	}
	if present.decides {
		if step, found := lightest(replacements(current, learners, followers(q))); found && !weighZones(step.target.Voters).decides {
			return step
		}
		if canGrow {
			return grown
		}
	}
	return joinStep{standby: true}
}

// lightest is the first of the steps with the best spread.
func lightest(steps []joinStep) (joinStep, bool) {
	var best joinStep
	for _, step := range steps {
		if best.change == "" || weighZones(step.target.Voters).lighterThan(weighZones(best.target.Voters)) {
			best = step
		}
	}
	return best, best.change != ""
}

// replacements are all ways to put one learner in the place of one voter, in
// the order of the places and then of the learners.
func replacements(current raft.Membership, learners []raft.Member, places []raft.ReplicaID) []joinStep {
	var steps []joinStep
	for _, place := range places {
		for _, learner := range learners {
			steps = append(steps, replaceStep(current, learner, place))
		}
	}
	return steps
}

// growths are all ways to add one learner; and two at once, since of four
// voters no zone may have two, and of five it may.
func growths(current raft.Membership, learners []raft.Member, maxVoters int) []joinStep {
	var steps []joinStep
	room := maxVoters - len(current.Voters)
	for i, first := range learners {
		if room >= 1 {
			steps = append(steps, growStep(current, first))
		}
		for _, second := range learners[i+1:] {
			if room >= 2 {
				steps = append(steps, growStep(current, first, second))
			}
		}
	}
	return steps
}

func growStep(current raft.Membership, learners ...raft.Member) joinStep {
	target := copyMembership(current)
	for _, learner := range learners {
		target = withoutLearner(target, learner.ID)
		target.Voters = append(target.Voters, learner)
	}
	return joinStep{change: changeVoter, target: target, newcomer: learners[0]}
}

// readyLearners are the one that asked, and then all others that answer and
// have caught up. A learner follows only once it has the archive.
func readyLearners(q joinQuestion) []raft.Member {
	ready := []raft.Member{q.request.Member}
	for _, learner := range q.status.Membership.Learners {
		progress, known := progressOf(q.status, learner.ID)
		if learner.ID == q.request.Member.ID || !known || q.now-progress.LastSeen > q.silence/2 || !caughtUp(q.status, learner.ID) {
			continue
		}
		ready = append(ready, learner)
	}
	return ready
}

// silentVoters were not heard for the whole silence, the longest silent first.
func silentVoters(q joinQuestion) []raft.ReplicaID {
	var found []raft.Progress
	for _, voter := range q.status.Membership.Voters {
		if progress, _ := progressOf(q.status, voter.ID); silent(q, voter.ID) {
			found = append(found, progress)
		}
	}
	slices.SortStableFunc(found, func(a, b raft.Progress) int { return int(a.LastSeen - b.LastSeen) })
	var ids []raft.ReplicaID
	for _, progress := range found {
		ids = append(ids, progress.ID)
	}
	return ids
}

// followers are all voters but the leader.
func followers(q joinQuestion) []raft.ReplicaID {
	var ids []raft.ReplicaID
	for _, voter := range q.status.Membership.Voters {
		if voter.ID != q.status.ID {
			ids = append(ids, voter.ID)
		}
	}
	return ids
}
