package reconfig

import (
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// ZoneSpread is how voters are spread over zones.
type ZoneSpread struct {
	// OneZoneIsCritical reports that there is a zone without which the remaining
	// voters are no majority.
	OneZoneIsCritical bool
	// LargestZone is the number of voters in the zone with most of them.
	LargestZone int
}

func (s ZoneSpread) betterThan(other ZoneSpread) bool {
	if s.OneZoneIsCritical != other.OneZoneIsCritical {
		return other.OneZoneIsCritical
	}
	return s.LargestZone < other.LargestZone
}

// MeasureZoneSpread measures how voters are spread over their zones.
func MeasureZoneSpread(voters []raft.Member) ZoneSpread {
	largest, counts := 0, make(map[string]int)
	for _, voter := range voters {
		counts[voter.Zone]++
		largest = max(largest, counts[voter.Zone])
	}
	return ZoneSpread{OneZoneIsCritical: len(voters)-largest < len(voters)/2+1, LargestZone: largest}
}

// voterSlotStep gives a voter slot to a learner that has caught up, preferably the one
// that requested it. In this order it takes
//
//  1. the slot of an unresponsive voter;
//  2. a new slot, if there are fewer than MaxVoters and no zone becomes critical;
//  3. the slot of a voter, if a zone is critical now and none is after;
//  4. a new slot, if a zone is critical now.
//
// Of several ways it takes the one with the best spread over zones. If there is none,
// the learner stands by.
func voterSlotStep(q Query) Step {
	current, learners := q.Status.Membership, readyLearners(q)
	if step, found := bestSpread(replacements(current, learners, unresponsiveVoters(q))); found {
		return step
	}
	addition, canAdd := bestSpread(additions(current, learners, q.MaxVoters))
	if canAdd && !MeasureZoneSpread(addition.Target.Voters).OneZoneIsCritical {
		return addition
	}
	if MeasureZoneSpread(current.Voters).OneZoneIsCritical {
		if step, found := bestSpread(replacements(current, learners, followers(q))); found && !MeasureZoneSpread(step.Target.Voters).OneZoneIsCritical {
			return step
		}
		if canAdd {
			return addition
		}
	}
	return Step{Standby: true}
}

// bestSpread returns the first of the steps with the best spread.
func bestSpread(steps []Step) (Step, bool) {
	var best Step
	for _, step := range steps {
		if best.Change == ChangeNone || MeasureZoneSpread(step.Target.Voters).betterThan(MeasureZoneSpread(best.Target.Voters)) {
			best = step
		}
	}
	return best, best.Change != ChangeNone
}

// replacements are all ways to give the slot of one of the voters to one learner, in
// the order of the voters and then of the learners.
func replacements(current raft.Membership, learners []raft.Member, voters []raft.ReplicaID) []Step {
	var steps []Step
	for _, voter := range voters {
		for _, learner := range learners {
			steps = append(steps, replaceStep(current, learner, voter))
		}
	}
	return steps
}

// additions are all ways to make one learner a voter in a new slot, and two at once:
// of four voters a zone with two is critical, of five it is not.
func additions(current raft.Membership, learners []raft.Member, maxVoters int) []Step {
	var steps []Step
	free := maxVoters - len(current.Voters)
	for i, first := range learners {
		if free >= 1 {
			steps = append(steps, addVotersStep(current, first))
		}
		for _, second := range learners[i+1:] {
			if free >= 2 {
				steps = append(steps, addVotersStep(current, first, second))
			}
		}
	}
	return steps
}

func addVotersStep(current raft.Membership, learners ...raft.Member) Step {
	target := copyMembership(current)
	for _, learner := range learners {
		target = withoutLearner(target, learner.ID)
		target.Voters = append(target.Voters, learner)
	}
	return Step{Change: ChangePromote, Target: target, Learner: learners[0]}
}

// readyLearners are the one that made the request, and then all others that were seen
// lately and have caught up. A learner follows the log only once it has the archive.
func readyLearners(q Query) []raft.Member {
	ready := []raft.Member{q.Member}
	for _, learner := range q.Status.Membership.Learners {
		progress, known := progressOf(q.Status, learner.ID)
		if learner.ID == q.Member.ID || !known || q.Now-progress.LastSeen > q.VoterTimeout/2 || !caughtUp(q.Status, learner.ID) {
			continue
		}
		ready = append(ready, learner)
	}
	return ready
}

// unresponsiveVoters are ordered by the time that they were last seen, oldest first.
func unresponsiveVoters(q Query) []raft.ReplicaID {
	var found []raft.Progress
	for _, voter := range q.Status.Membership.Voters {
		if progress, _ := progressOf(q.Status, voter.ID); unresponsive(q, voter.ID) {
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
func followers(q Query) []raft.ReplicaID {
	var ids []raft.ReplicaID
	for _, voter := range q.Status.Membership.Voters {
		if voter.ID != q.Status.ID {
			ids = append(ids, voter.ID)
		}
	}
	return ids
}
