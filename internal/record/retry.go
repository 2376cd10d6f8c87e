package record

import "time"

const (
	// maxBackoffDoublings bounds the growth of the backoff before a retry.
	maxBackoffDoublings = 5
	// maxUntilCancelledBackoff bounds the backoff of a task that runs until
	// cancelled, unless the configured first one is longer.
	maxUntilCancelledBackoff Millis = 2_000
	// failureResetAfter is how long a run of a task that runs until cancelled
	// must have been open for its failure to count as the first: its cause is
	// taken for another than that of the failures before.
	failureResetAfter Millis = 10_000
)

// countFailure counts a failure that ended a run: the task's own, or that of
// another member of its gang with a common outcome.
func (t *Task) countFailure(run *Run, now Millis) {
	if t.RunsUntilCancelled() && now-run.PlacedAt >= failureResetAfter {
		t.Failures = 0
	}
	t.Failures++
}

// retryBackoff is the backoff after a task's newest failure, in milliseconds.
func (m *Machine) retryBackoff(task *Task) Millis {
	backoff := m.backoffAfter(task.Failures)
	if task.RunsUntilCancelled() {
		backoff = min(backoff, max(m.backoffAfter(1), maxUntilCancelledBackoff))
	}
	return backoff
}

// backoffAfter is the backoff after a number of failures, of at least 1: the
// configured retry delay, doubled with each further failure up to
// maxBackoffDoublings times.
func (m *Machine) backoffAfter(failures int) Millis {
	doublings := min(failures-1, maxBackoffDoublings)
	delay := m.state.config.effective.Timings.RetryDelay.Std() << doublings
	return Millis(delay / time.Millisecond)
}
