package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// Sizes and times in a sized scenario. The CPU demand of tasks is uniform up to that of a
// complete worker, and their work is spread around the mean.
const (
	sizedWorkers  = 6
	sizedMaxCPU   = 4000
	sizedMeanWork = 600 * time.Millisecond
	// sizedBurstAt is when the burst begins, sizedBurst its length, sizedDuration the
	// time in which jobs are submitted.
	sizedBurstAt  = 3 * time.Second
	sizedBurst    = 5 * time.Second
	sizedDuration = 9 * time.Second
	// sizedMaxTasks is the largest number of tasks of a job in the bursting queue.
	sizedMaxTasks = 6
	// sizedMaxExtraWait is how much the 95th percentile of the waits may grow in the
	// burst: by the mean work. sizedMaxWait limits every single wait.
	sizedMaxExtraWait = sizedMeanWork
	sizedMaxWait      = 2 * time.Second
	// sizedSeeds is the number of scenarios whose waits are combined.
	sizedSeeds = 20
)

// scenarioWaits holds the waits of a queue's jobs, separately for those submitted before
// the burst and from its beginning on.
type scenarioWaits struct{ beforeBurst, inBurst []time.Duration }

// runSizedScenario returns the waits of runSizedScenarioByQueue for both queues together.
func runSizedScenario(t *testing.T, seed uint64) (beforeBurst, inBurst []time.Duration) {
	t.Helper()
	for _, waits := range runSizedScenarioByQueue(t, seed) {
		beforeBurst, inBurst = append(beforeBurst, waits.beforeBurst...), append(inBurst, waits.inBurst...)
	}
	return beforeBurst, inBurst
}

// runSizedScenarioByQueue simulates a burst in which queue "a" gets ten times its load,
// while tasks of all queues need different parts of a worker. It returns the waits of the
// jobs of "b" and "c".
func runSizedScenarioByQueue(t *testing.T, seed uint64) map[string]*scenarioWaits {
	t.Helper()
	f := newBurstFleetOf(t, sizedWorkers, sizedObjectiveQueue("a"), sizedObjectiveQueue("b"), sizedObjectiveQueue("c"))
	random := rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); at < sizedDuration || len(f.firstStart) < len(f.submitted); at += burstStep {
		if at > time.Minute {
			t.Fatalf("%d of %d jobs started within a minute", len(f.firstStart), len(f.submitted))
		}
		f.submitSized(random, at)
		f.advance(burstStep)
		for _, worker := range f.workers {
			f.exchangeAndEndRuns(worker)
		}
	}
	waitsByQueue := map[string]*scenarioWaits{"b": {}, "c": {}}
	for job, at := range f.submitted {
		waits := waitsByQueue[job[:1]]
		switch {
		case waits == nil:
		case at < f.startedAt+sizedBurstAt:
			waits.beforeBurst = append(waits.beforeBurst, f.firstStart[job]-at)
		default:
			waits.inBurst = append(waits.inBurst, f.firstStart[job]-at)
		}
	}
	return waitsByQueue
}

// submitSized submits the jobs of one step of the clock.
func (f *burstFleet) submitSized(random *rand.Rand, at time.Duration) {
	if at >= sizedDuration {
		return
	}
	perSecond := map[string]int{"a": 1, "b": 3, "c": 3}
	switch {
	case at >= sizedBurstAt+sizedBurst:
		perSecond["a"] = 0
	case at >= sizedBurstAt:
		perSecond["a"] = 10
	}
	for _, queue := range []string{"a", "b", "c"} {
		for range f.submissionsInStep(perSecond[queue]) {
			width := 1
			if queue == "a" {
				width += random.IntN(sizedMaxTasks)
			}
			f.count++
			id := fmt.Sprintf("%s-%d", queue, f.count)
			step, work := sizedStep(random, width)
			f.workOf[id] = work
			f.submitStep(queue, id, step)
		}
	}
}

// sizedStep returns a step of equal tasks with a random size, and the length of its runs.
func sizedStep(random *rand.Rand, width int) (api.StepSpec, time.Duration) {
	work := time.Duration(float64(sizedMeanWork) * (0.5 + random.Float64()))
	step := tasksWithEstimate(width, time.Duration(float64(work)*(0.5+random.Float64())))
	cpu := 1 + random.Int64N(sizedMaxCPU)
	for index := range step.Tasks {
		step.Tasks[index].Resources.CPUMillis = cpu
	}
	return step, work
}

// sizedObjectiveQueue returns a queue with an objective of 3 s plus twice the critical
// path.
func sizedObjectiveQueue(name string) api.QueueConfig {
	return api.QueueConfig{Name: name, Objective: &api.ObjectiveConfig{Target: api.Duration(3 * time.Second), Stretch: 2}}
}

// percentile95 returns the 95th percentile of the waits, and sorts them.
func percentile95(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

// TestAdmission_BurstLeavesCapacityToLargeTasks: the scenarios together correspond to
// burst-one-queue of platform/emulator, without processes. The burst could meet its
// objective if the jobs of all other queues waited for as long, and its small tasks would
// take each free part of a worker before a large task finds a complete one.
func TestAdmission_BurstLeavesCapacityToLargeTasks(t *testing.T) {
	var beforeBurst, inBurst []time.Duration
	for seed := range uint64(sizedSeeds) {
		before, during := runSizedScenario(t, seed)
		beforeBurst, inBurst = append(beforeBurst, before...), append(inBurst, during...)
	}
	allowed := percentile95(beforeBurst) + sizedMaxExtraWait
	t.Logf("p95 of the wait: %v before, %v in the burst, there at most %v", percentile95(beforeBurst), percentile95(inBurst), slices.Max(inBurst))
	if percentile95(inBurst) > allowed {
		t.Errorf("p95 wait of other queues in the burst: got %v, want at most %v", percentile95(inBurst), allowed)
	}
	if slices.Max(inBurst) > sizedMaxWait {
		t.Errorf("longest wait of other queues in the burst: got %v, want at most 2s", slices.Max(inBurst))
	}
}
