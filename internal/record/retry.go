package record

import "time"

const (
	// maxBackoffDoublings is how often the retry backoff doubles at most.
	maxBackoffDoublings = 5
	// maxUntilCancelledBackoff limits the backoff of a task that runs until
	// cancelled, in milliseconds, unless the configured retry delay is longer.
	maxUntilCancelledBackoff Millis = 2_000
	// failureResetAfter is how long, in milliseconds, a run of a task that runs
	// until cancelled must have been open for its failure to reset the failure
	// count to 1. Such a failure is assumed to have another cause than earlier ones.
	failureResetAfter Millis = 10_000
)

// countFailure counts a failed run: the task's own, or that of another member of its
// gang with a common outcome.
func (t *Task) countFailure(run *Run, now Millis) {
	if t.RunsUntilCancelled() && now-run.PlacedAt >= failureResetAfter {
		t.Failures = 0
	}
	t.Failures++
}

// retryBackoff returns the backoff after the newest failure of a task.
func (m *Machine) retryBackoff(task *Task) Millis {
	backoff := m.backoffAfter(task.Failures)
	if task.RunsUntilCancelled() {
		backoff = min(backoff, max(m.backoffAfter(1), maxUntilCancelledBackoff))
	}
	return backoff
}

// backoffAfter returns the backoff after the given number of failures, which must be
// at least 1: the configured retry delay, doubled for each further failure up to
// maxBackoffDoublings times.
func (m *Machine) backoffAfter(failures int) Millis {
	doublings := min(failures-1, maxBackoffDoublings)
	delay := m.state.config.effective.Timings.RetryDelay.Std() << doublings
	return Millis(delay / time.Millisecond)
}
