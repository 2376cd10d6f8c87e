package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// Sizes and times of the tasks of a sizedFleet: evenly spread up to a whole worker,
// and around the mean work.
const (
	sizedWorkers  = 6
	sizedMostCPU  = 4000
	sizedMeanWork = 600 * time.Millisecond
	// sizedBurstAt is when the burst begins, sizedBurst how long it lasts.
	sizedBurstAt = 3 * time.Second
	sizedBurst   = 5 * time.Second
	sizedDay     = 9 * time.Second
	// sizedWidth is the most tasks of a job of the burst.
	sizedWidth = 6
	// sizedHarm is by how much longer 95 of 100 jobs may wait in the burst than before
	// it: as long as the mean work. sizedLongest is the most that any may wait.
	sizedHarm    = sizedMeanWork
	sizedLongest = 2 * time.Second
	// sizedSeeds is over how many days waits are counted.
	sizedSeeds = 20
)

// dayWaits are the times that jobs of a queue waited: those that were submitted before
// the burst, and those from its beginning on.
type dayWaits struct{ calm, burst []time.Duration }

// sizedDayOf is sizedDayByQueue for both queues together.
func sizedDayOf(t *testing.T, seed uint64) (calm, burst []time.Duration) {
	t.Helper()
	for _, day := range sizedDayByQueue(t, seed) {
		calm, burst = append(calm, day.calm...), append(burst, day.burst...)
	}
	return calm, burst
}

// sizedDayByQueue plays a day on which queue "a" gets ten times its load, and tasks of
// all queues ask for different shares of a worker. It returns how long the jobs of "b"
// and "c" waited.
func sizedDayByQueue(t *testing.T, seed uint64) map[string]*dayWaits {
	t.Helper()
	f := newBurstFleetOf(t, sizedWorkers, objectiveOfDay("a"), objectiveOfDay("b"), objectiveOfDay("c"))
	random := rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); at < sizedDay || len(f.started) < len(f.submitted); at += burstStep {
		if at > time.Minute {
			t.Fatalf("%d of %d jobs started", len(f.started), len(f.submitted))
		}
		f.submitSized(random, at)
		f.advance(burstStep)
		for _, worker := range f.workers {
			f.exchange(worker)
		}
	}
	days := map[string]*dayWaits{"b": {}, "c": {}}
	for job, at := range f.submitted {
		day := days[job[:1]]
		switch {
		case day == nil:
		case at < f.began+sizedBurstAt:
			day.calm = append(day.calm, f.started[job]-at)
		default:
			day.burst = append(day.burst, f.started[job]-at)
		}
	}
	return days
}

// submitSized submits what comes at a moment of the day.
func (f *burstFleet) submitSized(random *rand.Rand, at time.Duration) {
	if at >= sizedDay {
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
		for range f.dueNow(perSecond[queue]) {
			width := 1
			if queue == "a" {
				width += random.IntN(sizedWidth)
			}
			f.count++
			id := fmt.Sprintf("%s-%d", queue, f.count)
			step, work := sizedStep(random, width)
			f.lengths[id] = work
			f.submitStep(queue, id, step)
		}
	}
}

// sizedStep is a step of equal tasks of a size by chance.
func sizedStep(random *rand.Rand, width int) (api.StepSpec, time.Duration) {
	work := time.Duration(float64(sizedMeanWork) * (0.5 + random.Float64()))
	step := estimated(width, time.Duration(float64(work)*(0.5+random.Float64())))
	cpu := 1 + random.Int64N(sizedMostCPU)
	for index := range step.Tasks {
		step.Tasks[index].Resources.CPUMillis = cpu
	}
	return step, work
}

func objectiveOfDay(name string) api.QueueConfig {
	return api.QueueConfig{Name: name, Objective: &api.ObjectiveConfig{Target: api.Duration(3 * time.Second), Stretch: 2}}
}

func percentile95(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

// TestAdmission_BurstLeavesCapacityToLargeTasks: the days together are as
// burst-one-queue of platform/emulator, without processes. The burst could be served within
// its objective if all others waited for as long, and its small tasks would take each
// piece of a worker before a large task finds a whole one.
func TestAdmission_BurstLeavesCapacityToLargeTasks(t *testing.T) {
	var calm, burst []time.Duration
	for seed := range uint64(sizedSeeds) {
		before, in := sizedDayOf(t, seed)
		calm, burst = append(calm, before...), append(burst, in...)
	}
	allowed := percentile95(calm) + sizedHarm
	t.Logf("p95 of the wait: %v before, %v in the burst, there at most %v", percentile95(calm), percentile95(burst), slices.Max(burst))
	if percentile95(burst) > allowed {
		t.Errorf("95 of 100 jobs beside the burst wait up to %v, more than %v", percentile95(burst), allowed)
	}
	if slices.Max(burst) > sizedLongest {
		t.Errorf("a job beside the burst waits for %v", slices.Max(burst))
	}
}
