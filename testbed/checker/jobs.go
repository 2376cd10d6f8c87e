package checker

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkJobsEnd (P2): each accepted job is in a final state at the end, and not wrongly
// failed or cancelled.
func (f *facts) checkJobsEnd() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		job := f.jobs[id]
		if job.accepted == 0 {
			continue
		}
		at := []monoclock.Nanos{job.accepted}
		state := job.lastState()
		switch {
		case !state.Final():
			found = append(found, Violation{P2, id, fmt.Sprintf("accepted, but its last seen state is %q", state), at})
		case state == api.StateCancelled && job.cancelSent == 0:
			found = append(found, Violation{P2, id, "shown as cancelled, but no one cancelled it", at})
		case state == api.StateFailed && !f.mayFail(job):
			found = append(found, Violation{P2, id, "shown as failed, but no task of it failed as often as it may", at})
		case state == api.StateSucceeded:
			found = append(found, f.checkSucceeded(job)...)
		}
	}
	return found
}

// mayFail reports whether any task of the job failed as often as it may.
func (f *facts) mayFail(job *jobFacts) bool {
	mayFail := false
	f.forEachTask(job, func(name eventlog.TaskName) {
		failures := 0
		for _, one := range f.byTask[name.String()] {
			if one.Outcome == api.OutcomeFailed {
				failures++
			}
		}
		failures = max(failures, f.gangFailures(name))
		mayFail = mayFail || (failures > 0 && failures >= f.allowedFailures(name))
	})
	return mayFail
}

// checkSucceeded (P2): a job that was reported as succeeded ran all of its tasks.
func (f *facts) checkSucceeded(job *jobFacts) []Violation {
	var found []Violation
	for _, step := range job.spec.Steps {
		for index := range step.TaskCount() {
			task := fmt.Sprintf("%s/%s/%d", job.id, step.Name, index)
			if !f.succeeded(task) && !f.gangSucceededWith(task) {
				found = append(found, Violation{P2, task, "its job is shown as succeeded, but no run of it succeeded", []monoclock.Nanos{job.accepted}})
			}
		}
	}
	return found
}

func (f *facts) succeeded(task string) bool {
	for _, one := range f.byTask[task] {
		if one.End != 0 && one.Outcome == api.OutcomeSucceeded {
			return true
		}
	}
	return false
}

// checkStates (P2): a final state never changes, and an accepted job is never unknown.
// Only polls sent after the earlier answer came are compared, since the order of
// concurrent ones is not known.
func (f *facts) checkStates() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		job := f.jobs[id]
		final := api.State("")
		var finalAt monoclock.Nanos
		for _, poll := range job.polls {
			if poll.Code == api.CodeNotFound && job.accepted != 0 && poll.Sent > job.accepted {
				found = append(found, Violation{P2, id, "accepted, but answered as not found", []monoclock.Nanos{poll.Answered, job.accepted}})
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

// checkReads (P2): a job's state is readable within 3 s, beyond the time for which the
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

// readBound is longer for a read that overlaps a time without a majority of the
// schedulers: service must come back first.
func (f *facts) readBound(poll calllog.Entry) time.Duration {
	for _, none := range f.withoutMajority() {
		if none.overlaps(poll.Sent, poll.Answered) {
			return none.to.Sub(none.from) + serviceGapBound
		}
	}
	return readBound
}

// checkResends (P2): a job that is submitted again is answered as the same job.
func (f *facts) checkResends() []Violation {
	var found []Violation
	for _, id := range f.jobIDs {
		job := f.jobs[id]
		for _, submit := range job.submits {
			if job.accepted == 0 || submit.Sent <= job.accepted {
				continue
			}
			at := []monoclock.Nanos{submit.Answered, job.accepted}
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
