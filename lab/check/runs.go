package check

import (
	"fmt"
	"math"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/journal"
	"github.com/decklever/decklever/lab/monoclock"
)

// checkUnknownTasks (P1): nothing runs that no caller handed in.
func (f *facts) checkUnknownTasks() []Violation {
	var found []Violation
	for _, line := range f.unknown {
		found = append(found, Violation{P1, line.Task, "a task ran that no caller handed in", []monoclock.Nanos{line.Mono}})
	}
	return found
}

// checkOverlap (P1): no two runs of a task overlap in time.
func (f *facts) checkOverlap() []Violation {
	var found []Violation
	for task, runs := range f.byTask {
		open := runs[0]
		for _, next := range runs[1:] {
			if next.Mono < open.over {
				found = append(found, Violation{
					P1, task,
					fmt.Sprintf("run %d on %s started while run %d on %s was open", next.Run.Run, next.Worker, open.Run.Run, open.Worker),
					[]monoclock.Nanos{next.Mono, open.Mono, open.over},
				})
			}
			if next.over > open.over {
				open = next
			}
		}
	}
	return found
}

// checkRestartAfterSuccess (P1): no task starts after a caller saw it as
// succeeded, nor after a success that must have been acknowledged.
func (f *facts) checkRestartAfterSuccess() []Violation {
	shown := f.shownSuccesses()
	var found []Violation
	for task, runs := range f.byTask {
		if f.untilCancelled(runs[0].name) {
			continue // has no success; checkEndless holds it to that
		}
		success := f.surelyRecordedSuccess(runs)
		seen := shown[task]
		for _, one := range runs {
			if seen != 0 && one.Mono > seen {
				found = append(found, Violation{P1, task, "started after a caller saw it as succeeded", []monoclock.Nanos{one.Mono, seen}})
			} else if success != 0 && one.Mono > success {
				found = append(found, Violation{P1, task, "started after it had succeeded on an undisturbed worker", []monoclock.Nanos{one.Mono, success}})
			}
		}
	}
	return found
}

// checkEndless (P2): no task that runs until cancelled is shown as succeeded,
// nor is its job.
func (f *facts) checkEndless() []Violation {
	var found []Violation
	shown := f.shownSuccesses()
	for _, id := range f.jobIDs {
		f.eachTask(f.jobs[id], func(name journal.TaskName) {
			if seen := shown[name.String()]; seen != 0 && f.untilCancelled(name) {
				found = append(found, Violation{P2, name.String(), "runs until cancelled, but was shown as succeeded", []monoclock.Nanos{seen}})
			}
		})
	}
	return found
}

func (f *facts) untilCancelled(name journal.TaskName) bool {
	spec := f.spec(name)
	return spec != nil && spec.UntilCancelled
}

// surelyRecordedSuccess returns the end of the first success whose report was
// not disturbed; 0 if there is none.
func (f *facts) surelyRecordedSuccess(runs []run) monoclock.Nanos {
	for _, one := range runs {
		if one.End != 0 && one.Outcome == api.OutcomeSucceeded && !f.disturbed(one, one.End) {
			return one.End
		}
	}
	return 0
}

// shownSuccesses returns when a caller first saw each task as succeeded. A
// job that is shown as succeeded shows so for all of its tasks.
func (f *facts) shownSuccesses() map[string]monoclock.Nanos {
	shown := map[string]monoclock.Nanos{}
	note := func(task string, at monoclock.Nanos) {
		if _, found := shown[task]; !found {
			shown[task] = at
		}
	}
	for _, job := range f.jobs {
		for _, poll := range job.polls {
			for _, task := range poll.Succeeded {
				note(task, poll.Answered)
			}
			if poll.State == api.StateSucceeded {
				f.eachTask(job, func(name journal.TaskName) { note(name.String(), poll.Answered) })
			}
		}
	}
	return shown
}

func (f *facts) eachTask(job *jobFacts, visit func(journal.TaskName)) {
	if job.spec == nil {
		return
	}
	for _, step := range job.spec.Steps {
		for index := range step.TaskCount() {
			visit(journal.TaskName{Job: job.id, Step: step.Name, Index: index})
		}
	}
}

// duplicateSuccesses counts successes of tasks beyond their first.
func (f *facts) duplicateSuccesses() int {
	count := 0
	for _, runs := range f.byTask {
		if f.untilCancelled(runs[0].name) {
			continue
		}
		successes := 0
		for _, one := range runs {
			if one.Outcome == api.OutcomeSucceeded {
				successes++
			}
		}
		count += max(0, successes-1)
	}
	return count
}

// checkFailures (P3): a task out of allowed failures is not started again.
// Failures whose report may have been lost are not counted.
func (f *facts) checkFailures() []Violation {
	var found []Violation
	for task, runs := range f.byTask {
		allowed := f.allowedFailures(runs[0].name)
		failures := 0
		var last monoclock.Nanos
		for _, one := range runs {
			if failures >= allowed && one.Mono > last {
				text := fmt.Sprintf("run %d started after %d failures of %d allowed", one.Run.Run, failures, allowed)
				found = append(found, Violation{P3, task, text, []monoclock.Nanos{one.Mono, last}})
			}
			if one.End != 0 && one.Outcome == api.OutcomeFailed && !f.disturbed(one, one.End) {
				failures++
				last = max(last, one.End)
			}
		}
	}
	return found
}

func (f *facts) allowedFailures(name journal.TaskName) int {
	if f.untilCancelled(name) {
		return math.MaxInt
	}
	if own := f.spec(name).AllowedFailures; own != nil {
		return max(1, *own)
	}
	for _, queue := range f.input.Config.Queues {
		if queue.Name == f.jobs[name.Job].spec.Queue && queue.DefaultAllowedFailures > 0 {
			return queue.DefaultAllowedFailures
		}
	}
	return defaultFailures
}

// checkStepOrder (P4): no task starts before all tasks of the steps that its
// step waits on have succeeded.
func (f *facts) checkStepOrder() []Violation {
	firstSuccess := f.firstSuccesses()
	var found []Violation
	for _, one := range f.runs {
		job := f.jobs[one.name.Job]
		for _, before := range job.step(one.name.Step).After {
			if violation := f.checkAfter(one, job, before, firstSuccess); violation != nil {
				found = append(found, *violation)
			}
		}
	}
	return found
}

func (f *facts) checkAfter(one run, job *jobFacts, before string, firstSuccess map[string]monoclock.Nanos) *Violation {
	step := job.step(before)
	if step == nil {
		return nil
	}
	for index := range step.TaskCount() {
		earlier := journal.TaskName{Job: job.id, Step: before, Index: index}.String()
		success := firstSuccess[earlier]
		if step.Lockstep {
			success = f.groupSuccess(job.id, step)
		}
		if success == 0 || success > one.Mono {
			return &Violation{P4, one.Task, "started before " + earlier + " had succeeded", []monoclock.Nanos{one.Mono, success}}
		}
	}
	return nil
}

func (f *facts) firstSuccesses() map[string]monoclock.Nanos {
	first := map[string]monoclock.Nanos{}
	for _, one := range f.runs {
		if one.Outcome != api.OutcomeSucceeded {
			continue
		}
		if known, found := first[one.Task]; !found || one.End < known {
			first[one.Task] = one.End
		}
	}
	return first
}

// checkNotBefore (P4): no timed task starts over 250 ms early.
func (f *facts) checkNotBefore() []Violation {
	var found []Violation
	for _, one := range f.runs {
		notBefore := f.jobs[one.name.Job].step(one.name.Step).NotBefore
		if notBefore == nil {
			continue
		}
		earliest := f.input.Anchor.At(*notBefore)
		if one.Mono < earliest.Add(-earlyStartBound) {
			found = append(found, Violation{P4, one.Task, fmt.Sprintf("started %v early", earliest.Sub(one.Mono)), []monoclock.Nanos{one.Mono, earliest}})
		}
	}
	return found
}

// checkCancels (P6): a cancelled job starts nothing after 3 s, and what it
// runs is over after 5 s.
func (f *facts) checkCancels() []Violation {
	var found []Violation
	for _, one := range f.runs {
		cancelled := f.jobs[one.name.Job].cancelled
		if cancelled == 0 {
			continue
		}
		if one.Mono > cancelled.Add(cancelStartBound) {
			found = append(found, Violation{P6, one.Task, "started after its job was cancelled", []monoclock.Nanos{one.Mono, cancelled}})
		} else if one.over > cancelled.Add(cancelEndBound) {
			found = append(found, Violation{P6, one.Task, "still ran after its job was cancelled", []monoclock.Nanos{one.over, cancelled}})
		}
	}
	return found
}

// checkGroups (P9): once a member of a group runs, the others start within 5 s
// or the member is stopped.
func (f *facts) checkGroups() []Violation {
	var found []Violation
	for _, one := range f.runs {
		job := f.jobs[one.name.Job]
		step := job.step(one.name.Step)
		deadline := one.Mono.Add(groupWaitBound)
		if !step.Together || one.over <= deadline {
			continue
		}
		for index := range step.TaskCount() {
			other := journal.TaskName{Job: job.id, Step: step.Name, Index: index}.String()
			runs := f.byTask[other]
			if len(runs) == 0 || runs[0].Mono > deadline {
				found = append(found, Violation{P9, one.Task, "ran alone: " + other + " did not start", []monoclock.Nanos{one.Mono, one.over}})
				break
			}
		}
	}
	return found
}

// checkTokens (P12): nothing starts under a token when a higher one was in use
// longer than a hold before.
func (f *facts) checkTokens() []Violation {
	type step struct {
		token uint64
		since monoclock.Nanos
	}
	var raised []step
	var found []Violation
	for _, line := range f.input.Lines {
		for _, earlier := range raised {
			if line.Event == journal.EventStart && earlier.token > line.Token && line.Mono > earlier.since.Add(f.hold()) {
				text := fmt.Sprintf("started under token %d although %d was in use", line.Token, earlier.token)
				found = append(found, Violation{P12, line.Task, text, []monoclock.Nanos{line.Mono, earlier.since}})
				break
			}
		}
		if len(raised) == 0 || line.Token > raised[len(raised)-1].token {
			raised = append(raised, step{line.Token, line.Mono})
		}
	}
	return found
}

// staleOrderSlack is how long an order under the token before may still be on
// its way when a new one is first used.
const staleOrderSlack = time.Second

// checkWaking (P12): after a scheduler was frozen for 20 s and more, nothing
// starts under a token other than the highest one in use when it woke.
func (f *facts) checkWaking() []Violation {
	var found []Violation
	for _, scheduler := range f.input.Schedulers {
		for _, frozen := range f.spansWhere(func(n *network) bool { return n.frozen[scheduler] }) {
			if frozen.to.Sub(frozen.from) >= silentBound {
				found = append(found, f.checkWoken(scheduler, frozen)...)
			}
		}
	}
	return found
}

func (f *facts) checkWoken(scheduler string, frozen span) []Violation {
	var inUse uint64
	var found []Violation
	for _, line := range f.input.Lines {
		switch {
		case line.Mono <= frozen.to.Add(-staleOrderSlack):
			inUse = max(inUse, line.Token)
		case line.Event == journal.EventStart && line.Mono > frozen.to && line.Token < inUse:
			text := fmt.Sprintf("started under token %d after %s woke, although %d was in use", line.Token, scheduler, inUse)
			found = append(found, Violation{P12, line.Task, text, []monoclock.Nanos{line.Mono, frozen.to}})
		}
	}
	return found
}
