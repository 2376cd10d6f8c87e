package checker

import (
	"cmp"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// leaseExpirySlack is how much earlier or later than a lease after it became
	// unreachable a worker may stop its runs. The last heartbeat accepted by then was
	// sent up to a heartbeat interval and a call earlier, and stopping a run takes a
	// moment.
	leaseExpirySlack = time.Second
	// earlyRestartSlack is how much earlier than a lease after its worker became
	// unreachable a task may start elsewhere. The last heartbeat answered by then may
	// be two heartbeat intervals old.
	earlyRestartSlack = 500 * time.Millisecond
	// faultSlack is how much earlier or later than recorded a fault may have begun or
	// ended.
	faultSlack = 100 * time.Millisecond
	// stopAfterResumeBound is the time after its worker resumed within which a stopped
	// run counts as having done nothing since the freeze.
	stopAfterResumeBound = time.Second
)

// workerLease is how long a worker continues its runs without an answer to its
// heartbeats.
func (f *facts) workerLease() time.Duration {
	return cmp.Or(f.input.Config.Timings.Hold.Std(), defaultLease)
}

// frozenSince returns when the worker of a run was frozen, if the run did nothing
// afterwards: the freeze lasted at least a lease, and the run ended as stopped within
// stopAfterResumeBound of the resumption. It is 0 for other runs.
func (f *facts) frozenSince(worker string, start, end monoclock.Nanos, outcome api.Outcome) monoclock.Nanos {
	if outcome != api.OutcomeStopped {
		return 0
	}
	for _, frozen := range f.spansWhere(func(n *network) bool { return n.frozen[worker] }) {
		if frozen.from > start && end >= frozen.to && end <= frozen.to.Add(stopAfterResumeBound) && frozen.to.Sub(frozen.from) >= f.workerLease() {
			return frozen.from
		}
	}
	return 0
}

// unreachableSince returns when the run's worker became unreachable, if that ended the
// run: the worker exited, or the run was stopped after its agent exited or after a
// fault as the lease expired. It is 0 for other runs.
func (f *facts) unreachableSince(taskRun run) monoclock.Nanos {
	if taskRun.lost {
		return taskRun.endedBy
	}
	if taskRun.Outcome != api.OutcomeStopped {
		return 0
	}
	if exit := firstAfter(f.exits[f.workers[taskRun.Worker].Agent], taskRun.Mono); exit != 0 && exit < taskRun.endedBy {
		return exit
	}
	return f.leaseExpiredSince(taskRun)
}

// leaseExpiredSince returns when the run's worker became unreachable during the run, if
// the run ended within leaseExpirySlack of a lease after that. For a frozen run it
// returns the time of the freeze, and 0 for other runs.
func (f *facts) leaseExpiredSince(taskRun run) monoclock.Nanos {
	if taskRun.frozen {
		return taskRun.endedBy
	}
	for _, unreachable := range f.unreachableSpans(taskRun.Worker) {
		expiry := unreachable.from.Add(f.workerLease())
		if unreachable.from > taskRun.Mono && taskRun.endedBy >= expiry.Add(-leaseExpirySlack) && taskRun.endedBy <= expiry.Add(leaseExpirySlack) {
			return unreachable.from
		}
	}
	return 0
}

// replacement is a run that ended because its worker became unreachable, with the next
// start of its task.
type replacement struct {
	endedRun         run
	unreachableSince monoclock.Nanos
	// nextStart is the start of the task's next run; 0 if there was none.
	nextStart monoclock.Nanos
}

// replacements returns the replacements of tasks for whose job no cancellation was
// sent.
func (f *facts) replacements() []replacement {
	var all []replacement
	for _, runs := range f.byTask {
		for index, taskRun := range runs {
			unreachableSince := f.unreachableSince(taskRun)
			if unreachableSince == 0 || f.jobs[taskRun.name.Job].cancelSentAt != 0 {
				continue
			}
			found := replacement{endedRun: taskRun, unreachableSince: unreachableSince}
			if index+1 < len(runs) {
				found.nextStart = runs[index+1].Mono
			}
			all = append(all, found)
		}
	}
	return all
}

// longestReplacement returns the longest time from when a worker became unreachable to
// the next start of a task that it ran. Replacements that overlap a time without a
// majority are left out, since nothing can start then.
func (f *facts) longestReplacement() time.Duration {
	var longest time.Duration
	for _, replaced := range f.replacements() {
		if replaced.nextStart != 0 && !f.overlapsNoMajority(replaced.unreachableSince, replaced.nextStart) {
			longest = max(longest, replaced.nextStart.Sub(replaced.unreachableSince))
		}
	}
	return longest
}

func (f *facts) overlapsNoMajority(from, to monoclock.Nanos) bool {
	return slices.ContainsFunc(f.withoutMajority(), func(outage span) bool { return outage.overlaps(from, to) })
}

// checkRestartDelay (P11): a task whose worker became unreachable starts elsewhere
// within 6 s, unless a cancellation of its job was sent or its gang with a common
// outcome has succeeded by then.
func (f *facts) checkRestartDelay() []Violation {
	var found []Violation
	for _, replaced := range f.replacements() {
		deadline := f.restartDeadline(replaced.unreachableSince)
		if f.input.EndedAt < deadline || (replaced.nextStart != 0 && replaced.nextStart <= deadline) || f.gangSucceededBy(replaced.endedRun, deadline) {
			continue
		}
		text := "was not started elsewhere in time after its worker " + replaced.endedRun.Worker + " became unreachable"
		found = append(found, Violation{P11, replaced.endedRun.Task, text, []monoclock.Nanos{replaced.unreachableSince, deadline, replaced.nextStart}})
	}
	return found
}

// restartDeadline returns the latest allowed start of a replacement, 6 s after the
// worker became unreachable. Each fault of the schedulers before the deadline extends
// it to 6 s after the fault, since a new leader waits for a complete lease. A time
// without a majority extends it to 12 s after the end of that time, since nothing can
// start until service is restored.
func (f *facts) restartDeadline(unreachableSince monoclock.Nanos) monoclock.Nanos {
	deadline := unreachableSince.Add(restartBound)
	for _, fault := range f.schedulerFaults() {
		if fault >= unreachableSince && fault < deadline {
			deadline = max(deadline, fault.Add(restartBound))
		}
	}
	for _, outage := range f.withoutMajority() {
		if outage.overlaps(unreachableSince, deadline) {
			deadline = max(deadline, outage.to.Add(serviceGapBound))
		}
	}
	return deadline
}

// checkEarlyRestart (P11): a task starts elsewhere only once the lease of its
// unreachable worker has expired. Runs whose worker was reachable again between the
// logged end and the next start are left out, since the worker may have reported that
// end.
func (f *facts) checkEarlyRestart() []Violation {
	var found []Violation
	for _, replaced := range f.replacements() {
		if !replaced.endedRun.lost && f.leaseExpiredSince(replaced.endedRun) == 0 {
			continue
		}
		if replaced.nextStart < replaced.endedRun.endedBy {
			continue // no next start, or overlapping runs, which checkOverlap reports
		}
		if !replaced.endedRun.lost && f.reachableBetween(replaced.endedRun.Worker, replaced.endedRun.endedBy, replaced.nextStart) {
			continue
		}
		found = append(found, f.earlyRestart(replaced.endedRun, replaced.unreachableSince, replaced.nextStart)...)
	}
	return found
}

// earlyRestart reports a start elsewhere before the lease of a worker that became
// unreachable at unreachableSince can have expired.
func (f *facts) earlyRestart(taskRun run, unreachableSince, next monoclock.Nanos) []Violation {
	earliest := unreachableSince.Add(f.workerLease() - earlyRestartSlack)
	if next >= earliest {
		return nil
	}
	text := "was started elsewhere before the lease of its unreachable worker " + taskRun.Worker + " had expired"
	return []Violation{{P11, taskRun.Task, text, []monoclock.Nanos{next, unreachableSince, earliest}}}
}

// reachableBetween reports whether a worker was reachable at some moment between two
// times.
func (f *facts) reachableBetween(worker string, from, to monoclock.Nanos) bool {
	return !slices.ContainsFunc(f.unreachableSpans(worker), func(unreachable span) bool {
		return unreachable.from <= from && unreachable.to >= to
	})
}

// checkUnreportedEnds (P11): while a worker is isolated no scheduler learns of the end
// of a run there, whatever its outcome, so the task may start again only once the lease
// has expired.
func (f *facts) checkUnreportedEnds() []Violation {
	var found []Violation
	for _, runs := range f.byTask {
		for index := range len(runs) - 1 {
			taskRun, next := runs[index], runs[index+1].Mono
			leaseExpired := taskRun.Outcome == api.OutcomeStopped && f.leaseExpiredSince(taskRun) != 0
			if taskRun.End == 0 || leaseExpired || next < taskRun.endedBy {
				continue // the run has no end event, or checkEarlyRestart or checkOverlap checks it
			}
			if isolated := f.isolatedDuring(taskRun.Worker, taskRun.End, next); isolated != 0 {
				found = append(found, f.earlyRestart(taskRun, isolated, next)...)
			}
		}
	}
	return found
}

// isolatedDuring returns the start of the isolation of a worker that covers the time
// between two readings by a margin of faultSlack at both ends; 0 if there is none.
func (f *facts) isolatedDuring(worker string, from, to monoclock.Nanos) monoclock.Nanos {
	for _, isolated := range f.isolatedSpans(worker) {
		if isolated.from.Add(faultSlack) <= from && isolated.to.Add(-faultSlack) >= to {
			return isolated.from
		}
	}
	return 0
}
