package record

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// failRepeatedly runs a task the given number of times and returns the backoff after
// each run. Each run is placed as soon as the task may start, stays open for openFor
// milliseconds and then fails.
func failRepeatedly(h *harness, task *Task, times int, openFor Millis) []Millis {
	h.t.Helper()
	var backoffs []Millis
	for range times {
		h.now = max(h.now, task.NotBefore)
		number := task.LastRun + 1
		h.mustPlace(placementOn(task.ID, number, "w1"))
		h.now += openFor
		h.close(task.ID, number, api.OutcomeFailed)
		backoffs = append(backoffs, task.NotBefore-h.now)
	}
	return backoffs
}

func expectBackoffs(t *testing.T, what string, got, want []Millis) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got backoffs %v, want %v", what, got, want)
	}
}

func TestRetryBackoff_IsBounded(t *testing.T) {
	m := newHarness(t).machine
	for failures, expected := range map[int]Millis{1: 200, 2: 400, 6: 6400, 7: 6400, 90: 6400} {
		t.Run(fmt.Sprintf("after %d failures", failures), func(t *testing.T) {
			expect(t, "backoff", m.backoffAfter(failures), expected)
		})
	}
}

// TestRetryBackoff_LongRunKeepsFailuresOfLimitedTask guards against resetting the
// failure count of a task with limited failures: it must reach its limit however long
// its runs were open.
func TestRetryBackoff_LongRunKeepsFailuresOfLimitedTask(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	step, limit := stepSpec("a", 1), 9
	step.Tasks[0].AllowedFailures = &limit
	h.submit("j", step)
	want := []Millis{200, 400, 800, 1600, 3200, 6400, 6400, 6400}
	expectBackoffs(t, "long runs", failRepeatedly(h, h.task(taskID("j", "a", 0)), len(want), failureResetAfter), want)
}

func TestUntilCancelled_BackoffIsBounded(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		want  []Millis
	}{
		{"by default", 0, []Millis{200, 400, 800, 1600, 2000, 2000, 2000, 2000}},
		{"a longer first backoff", 5 * time.Second, []Millis{5000, 5000, 5000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			timings := api.TimingConfig{RetryDelay: api.Duration(c.delay)}
			h.putConfig("order-2", 1, api.Config{Queues: []api.QueueConfig{{Name: testQueue}}, Timings: timings})
			h.register(testWorker("w1"))
			h.submit("j", untilCancelledStep("a", 1))
			expectBackoffs(t, "after each failure", failRepeatedly(h, h.task(taskID("j", "a", 0)), len(c.want), 100), c.want)
		})
	}
}

// TestUntilCancelled_LongRunResetsFailures checks that a failure after a long run
// starts a new count, because it is assumed to have another cause than earlier ones.
func TestUntilCancelled_LongRunResetsFailures(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submit("j", untilCancelledStep("a", 1))
	task := h.task(taskID("j", "a", 0))
	expectBackoffs(t, "short runs", failRepeatedly(h, task, 3, failureResetAfter-1), []Millis{200, 400, 800})
	expectBackoffs(t, "after a long run", failRepeatedly(h, task, 1, failureResetAfter), []Millis{200})
	expectBackoffs(t, "short runs after the long run", failRepeatedly(h, task, 2, 0), []Millis{400, 800})
	if task.Failures != 3 {
		t.Errorf("got %d failures since the long run, want 3", task.Failures)
	}
}
