package checker

import (
	"cmp"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// leaseExpirySlack is how far from the end of its lease, reckoned from when it
	// became unreachable, a worker may stop its runs: the last heartbeat that was
	// accepted by then was sent up to an interval and a call earlier, and stopping
	// takes a moment.
	leaseExpirySlack = time.Second
	// earlyRestartSlack is how much sooner than a lease after its worker became
	// unreachable a task may start elsewhere: the last heartbeat that was answered by
	// then may be two intervals old.
	earlyRestartSlack = 500 * time.Millisecond
	// faultSlack is how much sooner or later than recorded a fault may have begun or
	// ended.
	faultSlack = 100 * time.Millisecond
	// resumeBound is how soon after its worker resumed a run must have ended for its
	// end to be taken as the end of what it did before it was frozen.
	resumeBound = time.Second
)

// workerLease is how long a worker runs on without an answer to its heartbeats.
func (f *facts) workerLease() time.Duration {
	return cmp.Or(f.input.Config.Timings.Hold.Std(), defaultLease)
}

// frozenSince returns when a run's worker was frozen without the run going on
// afterwards: a frozen process does nothing, and if the run ended as stopped as soon as
// its worker resumed, it did nothing after that either. It is 0 for other runs.
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

// unreachableSince returns when the run's worker became unreachable, if that is what
// ended the run: its own exit, or a fault during the run after which it was stopped. It
// is 0 for other runs.
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

// leaseExpiredSince returns when the run's worker became unreachable, if the run was
// stopped as the lease that began then expired; 0 if it was not.
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

// replacement is a run that ended as its worker became unreachable, and the start that
// followed.
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

// longestReplacement returns the longest time from when a worker became unreachable to
// the start elsewhere of a task that it ran. Those that met a time without a majority
// are left out: nothing can start then.
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

// checkRestartDelay (P11): a task whose worker became unreachable starts elsewhere
// within 6 s, unless its job was cancelled or its gang with a common outcome has
// succeeded by then.
func (f *facts) checkRestartDelay() []Violation {
	var found []Violation
	for _, one := range f.replacements() {
		deadline := f.restartDeadline(one.unreachableSince)
		if f.input.EndedAt < deadline || (one.next != 0 && one.next <= deadline) || f.gangSucceededBy(one.lost, deadline) {
			continue
		}
		text := "was not started elsewhere in time after its worker " + one.lost.Worker + " became unreachable"
		found = append(found, Violation{P11, one.lost.Task, text, []monoclock.Nanos{one.unreachableSince, deadline, one.next}})
	}
	return found
}

// restartDeadline is 6 s after the worker became unreachable. Each fault of the
// schedulers before that may bring a new leader, who waits for a complete lease;
// without a majority nothing can start until service is back.
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

// checkEarlyRestart (P11): a task starts elsewhere only once the lease of its
// unreachable worker has expired. A worker that was reachable again after the end of
// the run in its event log may have reported that end.
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

// earlyRestart reports a start elsewhere before the lease of a worker that became
// unreachable at some time can have expired.
func (f *facts) earlyRestart(one run, unreachableSince, next monoclock.Nanos) []Violation {
	earliest := unreachableSince.Add(f.workerLease() - earlyRestartSlack)
	if next >= earliest {
		return nil
	}
	text := "was started elsewhere before the lease of its unreachable worker " + one.Worker + " had expired"
	return []Violation{{P11, one.Task, text, []monoclock.Nanos{next, unreachableSince, earliest}}}
}

// reachableBetween reports whether a worker was reachable at some moment of a time.
func (f *facts) reachableBetween(worker string, from, to monoclock.Nanos) bool {
	return !slices.ContainsFunc(f.unreachableSpans(worker), func(unreachable span) bool {
		return unreachable.from <= from && unreachable.to >= to
	})
}

// checkUnreportedEnds (P11): while a worker is isolated nobody learns of the end of a
// run there, however it ended, so that its task starts again only once the lease has
// expired.
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

// isolatedDuring returns since when a worker was isolated, if it was so for all of a
// time; 0 if it was not.
func (f *facts) isolatedDuring(worker string, from, to monoclock.Nanos) monoclock.Nanos {
	for _, isolated := range f.isolatedSpans(worker) {
		if isolated.from.Add(faultSlack) <= from && isolated.to.Add(-faultSlack) >= to {
			return isolated.from
		}
	}
	return 0
}
