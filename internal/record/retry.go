package record

import "time"

const (
	// maxReasonBytes bounds the text that is kept of a worker's message.
	maxReasonBytes = 1024
	// maxBackoffDoublings bounds the growth of the pause before a retry.
	maxBackoffDoublings = 5
	// maxUntilCancelledBackoff bounds the pause of a task that runs until cancelled,
	// unless the first pause is longer.
	maxUntilCancelledBackoff Millis = 2_000
	// failureResetAfter is how long a run of such a task must have been open for its failure
	// to be counted as the first: what broke it is not what broke the runs before.
	failureResetAfter Millis = 10_000
)

// countFailure counts a failure that ended a run, which may be another member's.
func (t *Task) countFailure(run *Run, now Millis) {
	if t.RunsUntilCancelled() && now-run.PlacedAt >= failureResetAfter {
		t.Failures = 0
	}
	t.Failures++
}

// retryBackoff is the pause after a task's newest failure.
func (m *Machine) retryBackoff(task *Task) Millis {
	pause := m.backoffAfter(task.Failures)
	if task.RunsUntilCancelled() {
		pause = min(pause, max(m.backoffAfter(1), maxUntilCancelledBackoff))
	}
	return pause
}

// backoffAfter is the pause after the given number of failures.
func (m *Machine) backoffAfter(failures int) Millis {
	doublings := min(failures-1, maxBackoffDoublings)
	delay := m.state.settings.effective.Timings.RetryDelay.Std() << doublings
	return Millis(delay / time.Millisecond)
}
