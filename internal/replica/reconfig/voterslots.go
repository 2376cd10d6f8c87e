package reconfig

import (
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// ZoneSpread describes how voters are spread over zones.
type ZoneSpread struct {
	// OneZoneIsCritical reports that the loss of some single zone leaves no majority of
	// the voters. Such a zone is called critical.
	OneZoneIsCritical bool
	// LargestZone is the number of voters in the zone with the most voters.
	LargestZone int
}

// betterThan prefers a spread without a critical zone, and then the one with the smaller
// LargestZone.
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

// voterSlotStep gives a voter slot to a learner that has caught up, preferably to the one
// that sent the request. It chooses the first available of
//
//  1. the slot of an unresponsive voter;
//  2. a new slot, if there are fewer than MaxVoters and no zone is critical afterwards;
//  3. the slot of a follower, if a zone is critical now and none is afterwards;
//  4. a new slot, if there are fewer than MaxVoters and a zone is critical now.
//
// Among several candidates it chooses the one with the best spread over zones. If there
// is none, the learner stands by.
func voterSlotStep(q Query) Step {
	current, learners := q.Status.Membership, readyLearners(q)
	if step, found := bestSpreadStep(replacementSteps(current, learners, unresponsiveVoters(q))); found {
		return step
	}
	addition, canAdd := bestSpreadStep(additionSteps(current, learners, q.MaxVoters))
	if canAdd && !MeasureZoneSpread(addition.Target.Voters).OneZoneIsCritical {
		return addition
	}
	if MeasureZoneSpread(current.Voters).OneZoneIsCritical {
		if step, found := bestSpreadStep(replacementSteps(current, learners, followers(q))); found && !MeasureZoneSpread(step.Target.Voters).OneZoneIsCritical {
			return step
		}
		if canAdd {
			return addition
		}
	}
	return Step{Standby: true}
}

// bestSpreadStep returns the first of the steps with the best spread; false if there are
// no steps.
func bestSpreadStep(steps []Step) (Step, bool) {
	var best Step
	for _, step := range steps {
		if best.Change == ChangeNone || MeasureZoneSpread(step.Target.Voters).betterThan(MeasureZoneSpread(best.Target.Voters)) {
			best = step
		}
	}
	return best, best.Change != ChangeNone
}

// replacementSteps returns one step for each pair of a voter and a learner that takes its
// slot, in the order of the voters and then of the learners.
func replacementSteps(current raft.Membership, learners []raft.Member, voters []raft.ReplicaID) []Step {
	var steps []Step
	for _, voter := range voters {
		for _, learner := range learners {
			steps = append(steps, replaceStep(current, learner, voter))
		}
	}
	return steps
}

// additionSteps returns all steps that make one learner, or two learners at once, voters in
// new slots. Two at once avoid a critical zone: a zone with two of four voters is critical,
// one with two of five voters is not.
func additionSteps(current raft.Membership, learners []raft.Member, maxVoters int) []Step {
	var steps []Step
	freeSlots := maxVoters - len(current.Voters)
	for i, first := range learners {
		if freeSlots >= 1 {
			steps = append(steps, addVotersStep(current, first))
		}
		for _, second := range learners[i+1:] {
			if freeSlots >= 2 {
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

// readyLearners returns the learner that sent the request, and then all others that were
// seen within half of VoterTimeout and have caught up. The archive need not be checked for
// the others: a learner follows the log only once it has the archive.
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

// unresponsiveVoters returns the unresponsive voters, ordered by the time at which they
// were last seen, oldest first.
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

// followers returns all voters except the leader.
func followers(q Query) []raft.ReplicaID {
	var ids []raft.ReplicaID
	for _, voter := range q.Status.Membership.Voters {
		if voter.ID != q.Status.ID {
			ids = append(ids, voter.ID)
		}
	}
	return ids
}
