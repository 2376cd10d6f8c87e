package checker

import (
	"cmp"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// leaseExpirySlack is how far from the end of its hold, reckoned from the
	// beginning of a silence, a worker may stop its runs: the last heartbeat
	// that it had accepted by then was sent up to an interval and a call
	// earlier, and stopping takes a moment.
	leaseExpirySlack = time.Second
	// earlyRestartSlack is how much sooner than a hold after the beginning of a
	// silence a run may start elsewhere: the last heartbeat that was answered
	// by then may be two intervals old.
	earlyRestartSlack = 500 * time.Millisecond
	// faultSlack is how much sooner or later than noted a fault may have begun or
	// ended.
	faultSlack = 100 * time.Millisecond
	// resumeBound is how soon after its worker woke a run must have ended for
	// its end to be taken as the end of what it did before it was frozen.
	resumeBound = time.Second
)

// workerLease is how long a worker runs on without an answer.
func (f *facts) workerLease() time.Duration {
	return cmp.Or(f.input.Config.Timings.Hold.Std(), defaultLease)
}

// frozenSince returns when a run's worker was frozen for good: a frozen process
// does nothing, and if the run ended as stopped as soon as its worker woke, it
// did nothing after that either. It is 0 for other runs.
func (f *facts) frozenSince(worker string, start, end monoclock.Nanos, outcome api.Outcome) monoclock.Nanos {
	if outcome != api.OutcomeStopped {
		return 0
	}
	for _, frozen := range f.spansWhere(func(n *network) bool { return n.frozen[worker] }) {
		if frozen.from > start && end >= frozen.to && end <= frozen.to.Add(resumeBound) && frozen.to.Sub(frozen.from) >= f.workerLease() {
			return frozen.from
		}
	}
	return 0
}

// unreachableSince returns when the run's worker could no longer be heard, if that
// is what cut the run off: its own exit, or a fault during the run after which
// it was stopped. It is 0 for other runs.
func (f *facts) unreachableSince(one run) monoclock.Nanos {
	if one.lost {
		return one.endedBy
	}
	if one.Outcome != api.OutcomeStopped {
		return 0
	}
	if exit := firstAfter(f.exits[f.workers[one.Worker].Agent], one.Mono); exit != 0 && exit < one.endedBy {
		return exit
	}
	return f.leaseExpiredSince(one)
}

// leaseExpiredSince returns the beginning of a silence at the end of whose hold the
// run was stopped; 0 if there is none.
func (f *facts) leaseExpiredSince(one run) monoclock.Nanos {
	if one.frozen {
		return one.endedBy
	}
	for _, unreachable := range f.unreachableSpans(one.Worker) {
		expiry := unreachable.from.Add(f.workerLease())
		if unreachable.from > one.Mono && one.endedBy >= expiry.Add(-leaseExpirySlack) && one.endedBy <= expiry.Add(leaseExpirySlack) {
			return unreachable.from
		}
	}
	return 0
}

// replacement is a run that a silence cut off, and the start that followed.
type replacement struct {
	lost             run
	unreachableSince monoclock.Nanos
	// next is the start elsewhere; 0 if there was none.
	next monoclock.Nanos
}

func (f *facts) replacements() []replacement {
	var all []replacement
	for _, runs := range f.byTask {
		for index, one := range runs {
			unreachableSince := f.unreachableSince(one)
			if unreachableSince == 0 || f.jobs[one.name.Job].cancelSent != 0 {
				continue
			}
			found := replacement{lost: one, unreachableSince: unreachableSince}
			if index+1 < len(runs) {
				found.next = runs[index+1].Mono
			}
			all = append(all, found)
		}
	}
	return all
}

// longestReplacement returns the longest time from the beginning of a silence
// to the start elsewhere of a task that it cut off. Those that met a time
// without a majority are left out: nothing can start then.
func (f *facts) longestReplacement() time.Duration {
	var longest time.Duration
	for _, one := range f.replacements() {
		if one.next != 0 && !f.metNoMajority(one.unreachableSince, one.next) {
			longest = max(longest, one.next.Sub(one.unreachableSince))
		}
	}
	return longest
}

func (f *facts) metNoMajority(from, to monoclock.Nanos) bool {
	return slices.ContainsFunc(f.withoutMajority(), func(none span) bool { return none.overlaps(from, to) })
}

// checkRestartDelay (P11): a run whose worker fell silent starts elsewhere
// within 6 s, unless its job was cancelled or its group in lockstep has succeeded
// by then.
func (f *facts) checkRestartDelay() []Violation {
	var found []Violation
	for _, one := range f.replacements() {
		deadline := f.restartDeadline(one.unreachableSince)
		if f.input.EndedAt < deadline || (one.next != 0 && one.next <= deadline) || f.gangSucceededBy(one.lost, deadline) {
			continue
		}
		text := "was not started elsewhere in time after its worker " + one.lost.Worker + " fell silent"
		found = append(found, Violation{P11, one.lost.Task, text, []monoclock.Nanos{one.unreachableSince, deadline, one.next}})
	}
	return found
}

// restartDeadline is 6 s after the silence began. Each fault of the schedulers
// before that may bring a leader who waits for a whole hold anew; without a
// majority nothing can start until service is back.
func (f *facts) restartDeadline(unreachableSince monoclock.Nanos) monoclock.Nanos {
	deadline := unreachableSince.Add(restartBound)
	for _, fault := range f.schedulerFaults() {
		if fault >= unreachableSince && fault < deadline {
			deadline = max(deadline, fault.Add(restartBound))
		}
	}
	for _, none := range f.withoutMajority() {
		if none.overlaps(unreachableSince, deadline) {
			deadline = max(deadline, none.to.Add(serviceGapBound))
		}
	}
	return deadline
}

// checkEarlyRestart (P11): a run starts elsewhere only once the hold of the
// worker that fell silent has lapsed. A worker that was heard again since its
// journal shows the end of the run can have told of it.
func (f *facts) checkEarlyRestart() []Violation {
	var found []Violation
	for _, one := range f.replacements() {
		if !one.lost.lost && f.leaseExpiredSince(one.lost) == 0 {
			continue
		}
		if one.next < one.lost.endedBy {
			continue // none, or two runs at once, which checkOverlap reports
		}
		if !one.lost.lost && f.reachableBetween(one.lost.Worker, one.lost.endedBy, one.next) {
			continue
		}
		found = append(found, f.earlyRestart(one.lost, one.unreachableSince, one.next)...)
	}
	return found
}

// earlyRestart reports a start elsewhere before the hold of a worker that is
// silent since some time can have lapsed.
func (f *facts) earlyRestart(one run, unreachableSince, next monoclock.Nanos) []Violation {
	earliest := unreachableSince.Add(f.workerLease() - earlyRestartSlack)
	if next >= earliest {
		return nil
	}
	text := "was started elsewhere before the hold of its silent worker " + one.Worker + " had lapsed"
	return []Violation{{P11, one.Task, text, []monoclock.Nanos{next, unreachableSince, earliest}}}
}

// reachableBetween reports whether a worker was not silent at some moment of a time.
func (f *facts) reachableBetween(worker string, from, to monoclock.Nanos) bool {
	return !slices.ContainsFunc(f.unreachableSpans(worker), func(unreachable span) bool {
		return unreachable.from <= from && unreachable.to >= to
	})
}

// checkUnreportedEnds (P11): while a worker cannot be heard nobody learns of the end
// of a run there, however it ended, so that its task starts again only once the
// hold has lapsed.
func (f *facts) checkUnreportedEnds() []Violation {
	var found []Violation
	for _, runs := range f.byTask {
		for index := range len(runs) - 1 {
			one, next := runs[index], runs[index+1].Mono
			leaseExpired := one.Outcome == api.OutcomeStopped && f.leaseExpiredSince(one) != 0
			if one.End == 0 || leaseExpired || next < one.endedBy {
				continue // checkEarlyRestart and checkOverlap look at these
			}
			if isolated := f.isolatedDuring(one.Worker, one.End, next); isolated != 0 {
				found = append(found, f.earlyRestart(one, isolated, next)...)
			}
		}
	}
	return found
}

// isolatedDuring returns since when a worker could not be heard by anybody, if that
// was so for the whole of a time; 0 if it was not.
func (f *facts) isolatedDuring(worker string, from, to monoclock.Nanos) monoclock.Nanos {
	for _, isolated := range f.isolatedSpans(worker) {
		if isolated.from.Add(faultSlack) <= from && isolated.to.Add(-faultSlack) >= to {
			return isolated.from
		}
	}
	return 0
}
