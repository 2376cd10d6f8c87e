package checker

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkJobsEnd (P2): each accepted job is in a final state at the end. It is failed
// only if a task used up its allowed failures, cancelled only if a cancellation was
// sent, and succeeded only if all of its tasks succeeded.
func (f *facts) checkJobsEnd() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		job := f.jobs[id]
		if job.acceptedAt == 0 {
			continue
		}
		at := []monoclock.Nanos{job.acceptedAt}
		state := job.lastState()
		switch {
		case !state.Final():
			found = append(found, Violation{P2, id, fmt.Sprintf("accepted, but its last seen state is %q", state), at})
		case state == api.StateCancelled && job.cancelSentAt == 0:
			found = append(found, Violation{P2, id, "shown as cancelled, but no one cancelled it", at})
		case state == api.StateFailed && !f.mayFail(job):
			found = append(found, Violation{P2, id, "shown as failed, but no task of it failed as often as it may", at})
		case state == api.StateSucceeded:
			found = append(found, f.checkSucceeded(job)...)
		}
	}
	return found
}

// mayFail reports whether a task of the job, or the gang of a task, used up the allowed
// failures.
func (f *facts) mayFail(job *jobFacts) bool {
	mayFail := false
	f.forEachTask(job, func(name eventlog.TaskName) {
		failures := 0
		for _, taskRun := range f.byTask[name.String()] {
			if taskRun.Outcome == api.OutcomeFailed {
				failures++
			}
		}
		failures = max(failures, f.gangFailures(name))
		mayFail = mayFail || (failures > 0 && failures >= f.allowedFailures(name))
	})
	return mayFail
}

// checkSucceeded (P2): each task of a job that was reported as succeeded has a
// successful run.
func (f *facts) checkSucceeded(job *jobFacts) []Violation {
	var found []Violation
	for _, step := range job.spec.Steps {
		for index := range step.TaskCount() {
			task := fmt.Sprintf("%s/%s/%d", job.id, step.Name, index)
			if !f.succeeded(task) && !f.gangSucceededWith(task) {
				found = append(found, Violation{P2, task, "its job is shown as succeeded, but no run of it succeeded", []monoclock.Nanos{job.acceptedAt}})
			}
		}
	}
	return found
}

func (f *facts) succeeded(task string) bool {
	for _, taskRun := range f.byTask[task] {
		if taskRun.End != 0 && taskRun.Outcome == api.OutcomeSucceeded {
			return true
		}
	}
	return false
}

// checkStates (P2): a final state never changes, and an accepted job is never reported
// as not found. Only polls sent after the earlier answer came are compared, since the
// order of concurrent polls is not known.
func (f *facts) checkStates() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		job := f.jobs[id]
		final := api.State("")
		var finalAt monoclock.Nanos
		for _, poll := range job.polls {
			if poll.Code == api.CodeNotFound && job.acceptedAt != 0 && poll.Sent > job.acceptedAt {
				found = append(found, Violation{P2, id, "accepted, but answered as not found", []monoclock.Nanos{poll.Answered, job.acceptedAt}})
			}
			if poll.State == "" {
				continue
			}
			if final != "" && poll.Sent > finalAt && poll.State != final {
				text := fmt.Sprintf("shown as %s after it was shown as %s", poll.State, final)
				found = append(found, Violation{P2, id, text, []monoclock.Nanos{poll.Answered, finalAt}})
			}
			if final == "" && poll.State.Final() {
				final, finalAt = poll.State, poll.Answered
			}
		}
	}
	return found
}

// checkReads (P2): a job's state is readable within 3 s, plus the time for which the
// caller allowed a long poll to wait.
func (f *facts) checkReads() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		for _, poll := range f.jobs[id].polls {
			if poll.Code == api.CodeNotFound {
				continue
			}
			delay := poll.Answered.Sub(poll.Sent) - poll.Wait
			if delay > f.readBound(poll) {
				text := fmt.Sprintf("its state could not be read for %v", delay)
				found = append(found, Violation{P2, id, text, []monoclock.Nanos{poll.Sent, poll.Answered}})
			}
		}
	}
	return found
}

// readBound returns the longest allowed delay of a read. It is longer than 3 s for a
// read that overlaps a time without a majority of the schedulers, since service must be
// restored first.
func (f *facts) readBound(poll calllog.Entry) time.Duration {
	for _, outage := range f.withoutMajority() {
		if outage.overlaps(poll.Sent, poll.Answered) {
			return outage.to.Sub(outage.from) + serviceGapBound
		}
	}
	return readBound
}

// checkResends (P2): a job that is submitted again is answered as the existing job.
func (f *facts) checkResends() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		job := f.jobs[id]
		for _, submit := range job.submits {
			if job.acceptedAt == 0 || submit.Sent <= job.acceptedAt {
				continue
			}
			at := []monoclock.Nanos{submit.Answered, job.acceptedAt}
			if submit.Created {
				found = append(found, Violation{P2, id, "submitted again and answered as new", at})
			}
			if submit.Code == api.CodeConflict {
				found = append(found, Violation{P2, id, "submitted again unchanged and answered as other content", at})
			}
		}
	}
	return found
}
