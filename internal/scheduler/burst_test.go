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
	// burstStep is the step of a simulated clock, burstWork the length of each run.
	burstStep = 50 * time.Millisecond
	burstWork = 500 * time.Millisecond
	// burstWorkers have capacity for 4 tasks each: 40 tasks a second in all.
	burstWorkers = 5
	// lastingJob is the job whose tasks do not end.
	lastingJob = "b-lasting"
)

// burstFleet plays jobs of one task that are submitted to several queues.
type burstFleet struct {
	*harness
	workers []*fakeWorker
	began   time.Duration
	// due is when each run that goes ends.
	due map[api.RunRef]time.Duration
	// submitted is when an accepted job was submitted first; waits holds the times
	// from then to their starts, by queue.
	submitted map[string]time.Duration
	waits     map[string][]time.Duration
	// again are refused submissions by when they come again.
	again map[time.Duration][]string
	// lengths are the lengths of the runs of a job, burstWork if it has none;
	// started is when its first run began.
	lengths map[string]time.Duration
	started map[string]time.Duration
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
		harness: newHarness(t), due: map[api.RunRef]time.Duration{}, submitted: map[string]time.Duration{},
		waits: map[string][]time.Duration{}, again: map[time.Duration][]string{}, refused: map[string]int{},
		lengths: map[string]time.Duration{}, started: map[string]time.Duration{},
	}
	f.putConfig(api.Config{Queues: queues})
	for number := range workers {
		worker := f.worker(fmt.Sprintf("w%d", number), fmt.Sprintf("w%d-1", number))
		worker.exchange()
		f.workers = append(f.workers, worker)
	}
	f.began = f.now
	return f
}

// submit hands a job of one task in; refused, it comes again when it was asked to.
func (f *burstFleet) submit(queue, id string) {
	f.t.Helper()
	f.submitStep(queue, id, estimated(1, burstWork))
}

func (f *burstFleet) submitStep(queue, id string, step api.StepSpec) {
	f.t.Helper()
	spec := api.JobSpec{Queue: queue, Steps: []api.StepSpec{step}}
	if _, again := f.submitted[id]; !again {
		f.submitted[id] = f.now
	}
	_, err := f.leader.submit(f.t.Context(), protocol.SubmitRequest{ID: id, Spec: spec})
	if err == nil {
		return
	}
	refusal := asRefusal(f.t, err)
	if refusal.Code != api.CodeOverLimit || refusal.RetryAfterMillis < slo.MinRetryAfter.Milliseconds() {
		f.t.Fatalf("%s: %+v", id, refusal)
	}
	f.refused[queue]++
	gap := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
	back := f.now + gap - gap%burstStep + burstStep
	f.again[back] = append(f.again[back], id)
}

// run hands jobs in for a while; perSecond says how many of each queue.
func (f *burstFleet) run(length time.Duration, perSecond map[string]int) {
	f.t.Helper()
	for end := f.now + length; f.now < end; {
		for _, id := range f.again[f.now] {
			f.submit(id[:1], id)
		}
		delete(f.again, f.now)
		for _, queue := range []string{"a", "b"} {
			for range f.dueNow(perSecond[queue]) {
				f.count++
				f.submit(queue, fmt.Sprintf("%s-%d", queue, f.count))
			}
		}
		f.advance(burstStep)
		for _, worker := range f.workers {
			f.exchange(worker)
		}
	}
}

// dueNow is how many of so many a second come in the present step.
func (f *burstFleet) dueNow(perSecond int) int {
	steps, second := int((f.now-f.began)/burstStep), int(time.Second/burstStep)
	return (steps+1)*perSecond/second - steps*perSecond/second
}

// exchange ends the runs that are over and takes new assignments.
func (f *burstFleet) exchange(worker *fakeWorker) {
	f.t.Helper()
	worker.heartbeat.Running = slices.DeleteFunc(worker.heartbeat.Running, func(run api.RunRef) bool {
		if f.now < f.due[run] {
			return false
		}
		worker.heartbeat.Ended = append(worker.heartbeat.Ended, api.EndedRun{RunRef: run, Outcome: api.OutcomeSucceeded})
		return true
	})
	for range 2 { // the first answer takes the ends, the second fills the capacity
		for _, order := range worker.exchange().Start {
			job := order.Task[:len(order.Task)-len("/s/0")]
			f.due[order.RunRef] = f.now + cmp.Or(f.lengths[job], burstWork)
			if _, begun := f.started[job]; !begun {
				f.started[job] = f.now
			}
			if job == lastingJob {
				f.due[order.RunRef] = f.now + time.Hour
			}
			f.waits[job[:1]] = append(f.waits[job[:1]], f.now-f.submitted[job])
		}
	}
}

// p95 returns the wait that 95 of 100 jobs of a queue do not exceed, and forgets
// the waits so far.
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

// TestAdmission_BurstDoesNotDelayOtherQueues: queue "a" gets ten times its load, twice
// what the fleet can do. By slack alone its older jobs would go before those of
// "b".
func TestAdmission_BurstDoesNotDelayOtherQueues(t *testing.T) {
	for _, refuseBeyond := range []float64{0, 3} {
		t.Run(fmt.Sprintf("refuse beyond %v", refuseBeyond), func(t *testing.T) {
			f := newBurstFleet(t, objectiveQueue("a", refuseBeyond), objectiveQueue("b", refuseBeyond))
			f.run(10*time.Second, map[string]int{"a": 8, "b": 8})
			calm := f.p95("b")
			f.run(30*time.Second, map[string]int{"a": 80, "b": 8})
			burst := f.p95("b")
			t.Logf("p95 of the wait in b: %v before, %v in the burst; refused: %v", calm, burst, f.refused)
			if burst > calm+2*burstStep {
				t.Errorf("b waits for %v, %v before the burst", burst, calm)
			}
			if f.refused["b"] > 0 || (f.refused["a"] > 0) != (refuseBeyond > 0) {
				t.Errorf("refused: %v", f.refused)
			}
		})
	}
}

// TestAdmission_RefusedJobIsAcceptedLater: what a burst cannot have done within three times its
// objective is refused; after it, all of it comes back and is done.
func TestAdmission_RefusedJobIsAcceptedLater(t *testing.T) {
	f := newBurstFleet(t, objectiveQueue("a", 3), objectiveQueue("b", 0))
	f.run(20*time.Second, map[string]int{"a": 80})
	if f.refused["a"] == 0 {
		t.Fatal("nothing was refused")
	}
	status, err := f.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "a"})
	if err != nil || !status.Status.Overloaded || status.Status.ExpectedWaitMillis < 4000 {
		t.Errorf("the queue: %+v, %v", status.Status, err)
	}
	// A resend of what was accepted is answered as that, also now.
	spec := api.JobSpec{Queue: "a", Steps: []api.StepSpec{estimated(1, burstWork)}}
	if answer, err := f.leader.submit(t.Context(), protocol.SubmitRequest{ID: "a-1", Spec: spec}); err != nil || answer.Created {
		t.Errorf("a resend: %+v, %v", answer, err)
	}
	f.run(2*time.Minute, nil)
	if started := len(f.waits["a"]); started != f.count || len(f.again) > 0 {
		t.Errorf("%d of %d jobs started, %d are still to come back", started, f.count, len(f.again))
	}
	if status, err := f.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "a"}); err != nil || status.Status.Overloaded {
		t.Errorf("the queue after it: %+v, %v", status.Status, err)
	}
}

// TestAdmission_FreeCapacityRefusesNothing: tasks that ask for more capacity than a worker
// has free wait for long, and small ones still get in.
func TestAdmission_FreeCapacityRefusesNothing(t *testing.T) {
	f := newBurstFleet(t, objectiveQueue("a", 1), objectiveQueue("b", 0))
	lasting := tasks(burstWorkers) // one on each worker
	for index := range lasting.Tasks {
		lasting.Tasks[index].UntilCancelled = true
		lasting.Tasks[index].Spread = &api.Spread{By: api.SpreadByWorker}
	}
	big := estimated(1, burstWork)
	big.Tasks[0].Resources.CPUMillis = 4000
	f.submitSpec(lastingJob, api.JobSpec{Queue: "b", Steps: []api.StepSpec{lasting}})
	for number := range 200 {
		f.submitSpec(fmt.Sprintf("a-big-%d", number), api.JobSpec{Queue: "a", Steps: []api.StepSpec{big}})
	}
	f.run(4*time.Second, map[string]int{"a": 8}) // later, the large ones are lost and count no more
	if status, err := f.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "a"}); err != nil || !status.Status.Overloaded {
		t.Errorf("the queue: %+v, %v", status.Status, err)
	}
	if f.refused["a"] > 0 {
		t.Errorf("%d small ones were refused", f.refused["a"])
	}
	f.submitSpec("b-big", api.JobSpec{Queue: "b", Steps: []api.StepSpec{big}})
	if _, err := f.leader.submit(t.Context(), protocol.SubmitRequest{ID: "a-big", Spec: api.JobSpec{Queue: "a", Steps: []api.StepSpec{big}}}); err == nil {
		t.Error("one more that has no capacity was taken")
	}
}
