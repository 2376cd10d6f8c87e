package replica

import (
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// zoneSpread says how badly voters are spread over zones; less is better.
type zoneSpread struct {
	// oneZoneIsCritical: without some one zone, the rest is no majority.
	oneZoneIsCritical bool
	// largestZone is the number of voters in the zone with most of them.
	largestZone int
}

func (w zoneSpread) betterThan(other zoneSpread) bool {
	if w.oneZoneIsCritical != other.oneZoneIsCritical {
		return other.oneZoneIsCritical
	}
	return w.largestZone < other.largestZone
}

func measureZoneSpread(voters []raft.Member) zoneSpread {
	most, counts := 0, make(map[string]int)
	for _, voter := range voters {
		counts[voter.Zone]++
		most = max(most, counts[voter.Zone])
	}
	return zoneSpread{oneZoneIsCritical: len(voters)-most < len(voters)/2+1, largestZone: most}
}

// voterSlotStep gives a seat to a learner that has caught up, best the one that
// asked: that of a voter that is silent; else one more if there are few, but
// none that lets one zone decide; else one of a zone that decides already. Of
// several ways the one with the voters spread best over zones is taken.
func voterSlotStep(q membershipQuery) membershipStep {
	current, learners := q.status.Membership, readyLearners(q)
	if step, found := bestSpread(replacements(current, learners, unresponsiveVoters(q))); found {
		return step
	}
	present := measureZoneSpread(current.Voters)
	grown, canGrow := bestSpread(additions(current, learners, q.maxVoters))
	if canGrow && !measureZoneSpread(grown.target.Voters).oneZoneIsCritical {
		return grown
	}
	if present.oneZoneIsCritical {
		if step, found := bestSpread(replacements(current, learners, followers(q))); found && !measureZoneSpread(step.target.Voters).oneZoneIsCritical {
			return step
		}
		if canGrow {
			return grown
		}
	}
	return membershipStep{standby: true}
}

// bestSpread is the first of the steps with the best spread.
func bestSpread(steps []membershipStep) (membershipStep, bool) {
	var best membershipStep
	for _, step := range steps {
		if best.change == "" || measureZoneSpread(step.target.Voters).betterThan(measureZoneSpread(best.target.Voters)) {
			best = step
		}
	}
	return best, best.change != ""
}

// replacements are all ways to put one learner in the place of one voter, in
// the order of the places and then of the learners.
func replacements(current raft.Membership, learners []raft.Member, places []raft.ReplicaID) []membershipStep {
	var steps []membershipStep
	for _, place := range places {
		for _, learner := range learners {
			steps = append(steps, replaceStep(current, learner, place))
		}
	}
	return steps
}

// additions are all ways to add one learner; and two at once, since of four
// voters no zone may have two, and of five it may.
func additions(current raft.Membership, learners []raft.Member, maxVoters int) []membershipStep {
	var steps []membershipStep
	room := maxVoters - len(current.Voters)
	for i, first := range learners {
		if room >= 1 {
			steps = append(steps, addVotersStep(current, first))
		}
		for _, second := range learners[i+1:] {
			if room >= 2 {
				steps = append(steps, addVotersStep(current, first, second))
			}
		}
	}
	return steps
}

func addVotersStep(current raft.Membership, learners ...raft.Member) membershipStep {
	target := copyMembership(current)
	for _, learner := range learners {
		target = withoutLearner(target, learner.ID)
		target.Voters = append(target.Voters, learner)
	}
	return membershipStep{change: changePromote, target: target, learner: learners[0]}
}

// readyLearners are the one that asked, and then all others that answer and
// have caught up. A learner follows only once it has the archive.
func readyLearners(q membershipQuery) []raft.Member {
	ready := []raft.Member{q.request.Member}
	for _, learner := range q.status.Membership.Learners {
		progress, known := progressOf(q.status, learner.ID)
		if learner.ID == q.request.Member.ID || !known || q.now-progress.LastSeen > q.voterTimeout/2 || !caughtUp(q.status, learner.ID) {
			continue
		}
		ready = append(ready, learner)
	}
	return ready
}

// unresponsiveVoters were not heard for the whole silence, the longest silent first.
func unresponsiveVoters(q membershipQuery) []raft.ReplicaID {
	var found []raft.Progress
	for _, voter := range q.status.Membership.Voters {
		if progress, _ := progressOf(q.status, voter.ID); unresponsive(q, voter.ID) {
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
func followers(q membershipQuery) []raft.ReplicaID {
	var ids []raft.ReplicaID
	for _, voter := range q.status.Membership.Voters {
		if voter.ID != q.status.ID {
			ids = append(ids, voter.ID)
		}
	}
	return ids
}
