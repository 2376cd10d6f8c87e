package record

import (
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

const (
	// maxReasonBytes bounds the text that is kept of a worker's message.
	maxReasonBytes = 1024
	// maxRetryDoublings bounds the growth of the pause before a retry.
	maxRetryDoublings = 5
	// longestEndlessPause bounds the pause of a task that runs until cancelled,
	// unless the first pause is longer.
	longestEndlessPause Millis = 2_000
	// steadyRun is how long a run of such a task must have been open for its failure
	// to be counted as the first: what broke it is not what broke the runs before.
	steadyRun Millis = 10_000
)

// applyClose ends runs in the order given.
func (m *Machine) applyClose(closing *Close) {
	m.takeGroupSuccesses(closing.Runs)
	for i := range closing.Runs {
		end := &closing.Runs[i]
		task := m.state.task(end.Run.Task)
		if task == nil {
			continue
		}
		if run := m.openRun(end.Run); run != nil {
			m.closeRun(run, end)
		} else {
			m.closeLate(task, end)
		}
		m.endJobIfDone(task.Step.Job)
	}
}

// closeRun ends an open run.
func (m *Machine) closeRun(run *Run, end *RunEnd) {
	task := run.Task
	m.state.removeRun(run)
	if task.State.Final() { // its group has succeeded
		m.state.setRun(task, task.State, nil)
		m.emit(RunClosed{Run: run, Outcome: end.Outcome})
		return
	}
	task.keepCheckpoint(end)
	next := m.stateAfterRun(run, end)
	m.state.setRun(task, next, nil)
	m.emit(RunClosed{Run: run, Outcome: end.Outcome})
	if next != TaskReady {
		m.taskEnded(task)
		return
	}
	m.emit(TaskBecameReady{Task: task})
	m.breakGroup(task, task.Reason)
	m.failGroupIfOver(task.Step)
}

// stateAfterRun decides what becomes of the task and notes failures and
// preemptions; one that came too late for a success is none. A worker that
// stops a run reports it as stopped, so that a failure which it reports of a run
// that was to be stopped is the task's own and counts, unless the job was
// cancelled. A task that runs until cancelled waits again however its run ended.
func (m *Machine) stateAfterRun(run *Run, end *RunEnd) TaskState {
	task := run.Task
	succeeded := end.Outcome == api.OutcomeSucceeded
	if succeeded && !task.Endless() {
		task.Reason = ""
		return TaskSucceeded
	}
	if run.Stop == StopPreempted && !succeeded {
		task.Preemptions++
	}
	if run.Stop == StopCancelled || task.Step.Job.Cancelled {
		task.Reason = reasonJobCancelled
		return TaskCancelled
	}
	if end.Outcome == api.OutcomeFailed {
		return m.stateAfterFailure(run, end)
	}
	if run.Stop == StopGroup && task.Step.Spec.Lockstep {
		return TaskReady // the reason is why the group was broken
	}
	task.Reason = interruption(run, end.Outcome)
	return TaskReady
}

func (m *Machine) stateAfterFailure(run *Run, end *RunEnd) TaskState {
	task := run.Task
	if task.Step.Spec.Lockstep {
		m.countGroupFailure(run, end)
		return TaskReady
	}
	task.countFailure(run, m.state.clock)
	task.Reason = failureReason(end.Message)
	if task.Failures >= task.AllowedFailures && !task.Spec.UntilCancelled {
		return TaskFailed
	}
	task.NotBefore = m.state.clock + m.pauseOf(task)
	return TaskReady
}

// countFailure counts a failure that ended a run, which may be another member's.
func (t *Task) countFailure(run *Run, now Millis) {
	if t.Endless() && now-run.PlacedAt >= steadyRun {
		t.Failures = 0
	}
	t.Failures++
}

// pauseOf is the pause after a task's newest failure.
func (m *Machine) pauseOf(task *Task) Millis {
	pause := m.retryDelay(task.Failures)
	if task.Endless() {
		pause = min(pause, max(m.retryDelay(1), longestEndlessPause))
	}
	return pause
}

// retryDelay is the pause after the given number of failures.
func (m *Machine) retryDelay(failures int) Millis {
	doublings := min(failures-1, maxRetryDoublings)
	delay := m.state.settings.effective.Timings.RetryDelay.Std() << doublings
	return Millis(delay / time.Millisecond)
}

// closeLate takes the success of a closed run if the task still waits: what
// the run did is done, whatever became of newer runs, and none of them is open.
// One that runs until cancelled has no success. Any other late report changes
// nothing but the checkpoint, if it is of the newest run.
func (m *Machine) closeLate(task *Task, end *RunEnd) {
	if task.State == TaskReady && end.Run.Number == task.LastRun {
		task.keepCheckpoint(end)
	}
	if end.Outcome != api.OutcomeSucceeded || task.State != TaskReady || task.Endless() || task.Step.Spec.Lockstep {
		return
	}
	if end.Run.Number == 0 || end.Run.Number > task.LastRun {
		return
	}
	m.endWaiting(task, TaskSucceeded, "")
}

// interruption says why a run ended that neither failed nor ended its task.
func interruption(run *Run, outcome api.Outcome) string {
	if outcome == api.OutcomeSucceeded {
		return fmt.Sprintf("run %d succeeded; the task runs until cancelled", run.Number)
	}
	if run.Stop != StopNone {
		return fmt.Sprintf("run %d stopped: %s", run.Number, run.Stop)
	}
	if outcome == api.OutcomeStopped {
		return fmt.Sprintf("run %d stopped by worker %q", run.Number, run.Worker)
	}
	return fmt.Sprintf("run %d lost on worker %q", run.Number, run.Worker)
}

func failureReason(message string) string {
	if message == "" {
		return "failed"
	}
	return shorten(message, maxReasonBytes)
}

// shorten cuts text to a number of bytes, not within a character.
func shorten(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}
