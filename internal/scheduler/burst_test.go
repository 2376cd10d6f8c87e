package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/scheduler/slo"
)

const (
	// burstStep is the step of the simulated clock, burstWork the default length of a
	// run.
	burstStep = 50 * time.Millisecond
	burstWork = 500 * time.Millisecond
	// burstWorkers is the default number of workers. Each has capacity for 4 tasks, so
	// that together they run 40 tasks per second.
	burstWorkers = 5
	// untilCancelledJob is the id of the job whose tasks run until cancelled.
	untilCancelledJob = "b-lasting"
)

// burstFleet simulates workers and the submission of jobs to several queues.
type burstFleet struct {
	*harness
	workers   []*fakeWorker
	startedAt time.Duration
	// endsAt is when each open run ends.
	endsAt map[api.RunRef]time.Duration
	// submitted is when a job was first submitted; waits holds the times from then to the
	// starts of its runs, by queue.
	submitted map[string]time.Duration
	waits     map[string][]time.Duration
	// retries holds the ids of refused jobs by the time of their next submission.
	retries map[time.Duration][]string
	// workOf is the length of a job's runs, by default burstWork; firstStart is when its
	// first run started.
	workOf     map[string]time.Duration
	firstStart map[string]time.Duration
	// refused counts refusals by queue; count is the number of generated jobs.
	refused map[string]int
	count   int
}

func newBurstFleet(t *testing.T, queues ...api.QueueConfig) *burstFleet {
	t.Helper()
	return newBurstFleetOf(t, burstWorkers, queues...)
}

func newBurstFleetOf(t *testing.T, workers int, queues ...api.QueueConfig) *burstFleet {
	t.Helper()
	f := &burstFleet{
		harness: newHarness(t), endsAt: map[api.RunRef]time.Duration{}, submitted: map[string]time.Duration{},
		waits: map[string][]time.Duration{}, retries: map[time.Duration][]string{}, refused: map[string]int{},
		workOf: map[string]time.Duration{}, firstStart: map[string]time.Duration{},
	}
	f.putConfig(api.Config{Queues: queues})
	for number := range workers {
		worker := f.newWorker(fmt.Sprintf("w%d", number), fmt.Sprintf("w%d-1", number))
		worker.exchange()
		f.workers = append(f.workers, worker)
	}
	f.startedAt = f.now
	return f
}

// submit submits a job of one task. A refused job is submitted again at its retry time.
func (f *burstFleet) submit(queue, id string) {
	f.t.Helper()
	f.submitStep(queue, id, tasksWithEstimate(1, burstWork))
}

// submitStep submits a job of one step, as submit does.
func (f *burstFleet) submitStep(queue, id string, step api.StepSpec) {
	f.t.Helper()
	spec := api.JobSpec{Queue: queue, Steps: []api.StepSpec{step}}
	if _, resubmitted := f.submitted[id]; !resubmitted {
		f.submitted[id] = f.now
	}
	_, err := f.leader.submit(f.t.Context(), protocol.SubmitRequest{ID: id, Spec: spec})
	if err == nil {
		return
	}
	refusal := asRefusal(f.t, err)
	if refusal.Code != api.CodeOverLimit || refusal.RetryAfterMillis < slo.MinRetryAfter.Milliseconds() {
		f.t.Fatalf("submit %s: got %+v, want over limit with a retry time", id, refusal)
	}
	f.refused[queue]++
	gap := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
	retryAt := f.now + gap - gap%burstStep + burstStep
	f.retries[retryAt] = append(f.retries[retryAt], id)
}

// run simulates a time in which perSecond jobs per second are submitted to each queue.
func (f *burstFleet) run(length time.Duration, perSecond map[string]int) {
	f.t.Helper()
	for end := f.now + length; f.now < end; {
		for _, id := range f.retries[f.now] {
			f.submit(id[:1], id)
		}
		delete(f.retries, f.now)
		for _, queue := range []string{"a", "b"} {
			for range f.submissionsInStep(perSecond[queue]) {
				f.count++
				f.submit(queue, fmt.Sprintf("%s-%d", queue, f.count))
			}
		}
		f.advance(burstStep)
		for _, worker := range f.workers {
			f.exchangeAndEndRuns(worker)
		}
	}
}

// submissionsInStep returns how many jobs to submit in the current step of the clock at a
// rate of perSecond.
func (f *burstFleet) submissionsInStep(perSecond int) int {
	steps, second := int((f.now-f.startedAt)/burstStep), int(time.Second/burstStep)
	return (steps+1)*perSecond/second - steps*perSecond/second
}

// exchangeAndEndRuns ends the runs of a worker that are over, and takes its new
// assignments.
func (f *burstFleet) exchangeAndEndRuns(worker *fakeWorker) {
	f.t.Helper()
	worker.heartbeat.Running = slices.DeleteFunc(worker.heartbeat.Running, func(run api.RunRef) bool {
		if f.now < f.endsAt[run] {
			return false
		}
		worker.heartbeat.Ended = append(worker.heartbeat.Ended, api.EndedRun{RunRef: run, Outcome: api.OutcomeSucceeded})
		return true
	})
	for range 2 { // the first heartbeat reports the ends, the answer to the second fills the freed capacity
		for _, order := range worker.exchange().Start {
			job := order.Task[:len(order.Task)-len("/s/0")]
			f.endsAt[order.RunRef] = f.now + cmp.Or(f.workOf[job], burstWork)
			if _, begun := f.firstStart[job]; !begun {
				f.firstStart[job] = f.now
			}
			if job == untilCancelledJob {
				f.endsAt[order.RunRef] = f.now + time.Hour
			}
			f.waits[job[:1]] = append(f.waits[job[:1]], f.now-f.submitted[job])
		}
	}
}

// p95 returns the 95th percentile of the waits in a queue, and clears the waits of all
// queues.
func (f *burstFleet) p95(queue string) time.Duration {
	f.t.Helper()
	waits := f.waits[queue]
	if len(waits) == 0 {
		f.t.Fatalf("no job of queue %s started", queue)
	}
	slices.Sort(waits)
	f.waits = map[string][]time.Duration{}
	return waits[len(waits)*95/100]
}

func objectiveQueue(name string, refuseBeyond float64) api.QueueConfig {
	return api.QueueConfig{Name: name, Objective: &api.ObjectiveConfig{Target: api.Duration(2 * time.Second), RefuseBeyond: refuseBeyond}}
}

// TestAdmission_BurstDoesNotDelayOtherQueues: queue "a" gets ten times its load, which is
// twice the capacity of the fleet. In the order of slack alone, its older jobs would go
// before those of "b", so "a" must defer to "b".
func TestAdmission_BurstDoesNotDelayOtherQueues(t *testing.T) {
	for _, refuseBeyond := range []float64{0, 3} {
		t.Run(fmt.Sprintf("refuse beyond %v", refuseBeyond), func(t *testing.T) {
			f := newBurstFleet(t, objectiveQueue("a", refuseBeyond), objectiveQueue("b", refuseBeyond))
			f.run(10*time.Second, map[string]int{"a": 8, "b": 8})
			beforeBurst := f.p95("b")
			f.run(30*time.Second, map[string]int{"a": 80, "b": 8})
			inBurst := f.p95("b")
			t.Logf("p95 of the wait in b: %v before, %v in the burst; refused: %v", beforeBurst, inBurst, f.refused)
			if inBurst > beforeBurst+2*burstStep {
				t.Errorf("p95 wait in b: got %v in the burst, %v before it, want at most 2 steps more", inBurst, beforeBurst)
			}
			if f.refused["b"] > 0 || (f.refused["a"] > 0) != (refuseBeyond > 0) {
				t.Errorf("got refusals %v, want none in b, and some in a only if it refuses late jobs", f.refused)
			}
		})
	}
}

// TestAdmission_RefusedJobIsAcceptedLater: a queue refuses the jobs of a burst that would
// end later than three times its objective. After the burst all refused jobs must be
// accepted on a retry, and run.
func TestAdmission_RefusedJobIsAcceptedLater(t *testing.T) {
	f := newBurstFleet(t, objectiveQueue("a", 3), objectiveQueue("b", 0))
	f.run(20*time.Second, map[string]int{"a": 80})
	if f.refused["a"] == 0 {
		t.Fatal("got no refusals, want some")
	}
	status, err := f.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "a"})
	if err != nil || !status.Status.Overloaded || status.Status.ExpectedWaitMillis < 4000 {
		t.Errorf("status in the burst: got %+v, %v, want overloaded with a wait of at least 4000 ms", status.Status, err)
	}
	// A resend of an accepted job is not refused, even while the queue refuses new ones.
	spec := api.JobSpec{Queue: "a", Steps: []api.StepSpec{tasksWithEstimate(1, burstWork)}}
	if answer, err := f.leader.submit(t.Context(), protocol.SubmitRequest{ID: "a-1", Spec: spec}); err != nil || answer.Created {
		t.Errorf("resend of an accepted job: got %+v, %v, want no new job and no error", answer, err)
	}
	f.run(2*time.Minute, nil)
	if started := len(f.waits["a"]); started != f.count || len(f.retries) > 0 {
		t.Errorf("%d of %d jobs started, %d retry times are pending, want all started and none pending", started, f.count, len(f.retries))
	}
	if status, err := f.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "a"}); err != nil || status.Status.Overloaded {
		t.Errorf("status after the burst: got %+v, %v, want not overloaded", status.Status, err)
	}
}

// TestAdmission_JobThatFitsIsNotRefused: tasks that need more capacity than any worker
// has free make the queue overloaded. Small jobs that fit on a worker must still be
// accepted.
func TestAdmission_JobThatFitsIsNotRefused(t *testing.T) {
	f := newBurstFleet(t, objectiveQueue("a", 1), objectiveQueue("b", 0))
	endless := tasks(burstWorkers) // one on each worker
	for index := range endless.Tasks {
		endless.Tasks[index].UntilCancelled = true
		endless.Tasks[index].Spread = &api.Spread{By: api.SpreadByWorker}
	}
	big := tasksWithEstimate(1, burstWork)
	big.Tasks[0].Resources.CPUMillis = 4000
	f.submitSpec(untilCancelledJob, api.JobSpec{Queue: "b", Steps: []api.StepSpec{endless}})
	for number := range 200 {
		f.submitSpec(fmt.Sprintf("a-big-%d", number), api.JobSpec{Queue: "a", Steps: []api.StepSpec{big}})
	}
	f.run(4*time.Second, map[string]int{"a": 8}) // later the large tasks are beyond lostMultiple of their objective and no longer count
	if status, err := f.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "a"}); err != nil || !status.Status.Overloaded {
		t.Errorf("queue status: got %+v, %v, want overloaded", status.Status, err)
	}
	if f.refused["a"] > 0 {
		t.Errorf("got %d small jobs refused, want none", f.refused["a"])
	}
	f.submitSpec("b-big", api.JobSpec{Queue: "b", Steps: []api.StepSpec{big}})
	if _, err := f.leader.submit(t.Context(), protocol.SubmitRequest{ID: "a-big", Spec: api.JobSpec{Queue: "a", Steps: []api.StepSpec{big}}}); err == nil {
		t.Error("a large job that fits on no worker was accepted, want a refusal")
	}
}
