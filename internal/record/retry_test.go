package record

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// failRepeatedly lets so many runs of a task fail, each after it was at work for some
// time and as soon as the task may run, and returns the pauses after them.
func failRepeatedly(r *harness, task *Task, times int, atWork Millis) []Millis {
	var pauses []Millis
	for range times {
		r.now = max(r.now, task.NotBefore)
		number := task.LastRun + 1
		r.mustPlace(placementOn(task.ID, number, "w1"))
		r.now += atWork
		r.close(task.ID, number, api.OutcomeFailed)
		pauses = append(pauses, task.NotBefore-r.now)
	}
	return pauses
}

func expectBackoffs(t *testing.T, what string, got, want []Millis) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: pauses %v, want %v", what, got, want)
	}
}

func TestRetryBackoff_IsBounded(t *testing.T) {
	m := newHarness(t).machine
	for failures, expected := range map[int]Millis{1: 200, 2: 400, 6: 6400, 7: 6400, 90: 6400} {
		expect(t, fmt.Sprint(failures), m.backoffAfter(failures), expected)
	}
}

// TestRetryBackoff_LongRunKeepsFailuresOfLimitedTask: their number is limited.
func TestRetryBackoff_LongRunKeepsFailuresOfLimitedTask(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	made, limit := stepSpec("a", 1), 9
	made.Tasks[0].AllowedFailures = &limit
	r.submit("j", made)
	want := []Millis{200, 400, 800, 1600, 3200, 6400, 6400, 6400}
	expectBackoffs(t, "long runs", failRepeatedly(r, r.task(taskID("j", "a", 0)), len(want), failureResetAfter), want)
}

func TestUntilCancelled_BackoffIsBounded(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		want  []Millis
	}{
		{"by default", 0, []Millis{200, 400, 800, 1600, 2000, 2000, 2000, 2000}},
		{"a longer first pause", 5 * time.Second, []Millis{5000, 5000, 5000}},
	} {
		r := newHarness(t)
		r.putConfig("order-2", 1, api.Config{Queues: []api.QueueConfig{{Name: testQueue}}, Timings: api.TimingConfig{RetryDelay: api.Duration(c.delay)}})
		r.register(testWorker("w1"))
		r.submit("j", untilCancelledStep("a", 1))
		expectBackoffs(t, c.name, failRepeatedly(r, r.task(taskID("j", "a", 0)), len(c.want), 100), c.want)
	}
}

// TestUntilCancelled_LongRunResetsFailures: what broke it is not what broke it before.
func TestUntilCancelled_LongRunResetsFailures(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submit("j", untilCancelledStep("a", 1))
	task := r.task(taskID("j", "a", 0))
	expectBackoffs(t, "short runs", failRepeatedly(r, task, 3, failureResetAfter-1), []Millis{200, 400, 800})
	expectBackoffs(t, "after a long one", failRepeatedly(r, task, 1, failureResetAfter), []Millis{200})
	expectBackoffs(t, "short ones again", failRepeatedly(r, task, 2, 0), []Millis{400, 800})
	if task.Failures != 3 {
		t.Errorf("%d failures since the long run, want 3", task.Failures)
	}
}
