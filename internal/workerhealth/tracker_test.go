package workerhealth

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/internal/record"
)

// harness drives a Tracker with workers "w0" to "wN" of service "s".
type harness struct {
	*Tracker
	now     time.Duration
	workers []ActiveWorker
	job     int
}

func newHarness(workers int) *harness {
	f := &harness{Tracker: New(), now: time.Hour}
	for i := range workers {
		f.workers = append(f.workers, ActiveWorker{ID: fmt.Sprint("w", i), Services: []string{"s"}})
	}
	return f
}

// task returns task 0 of a job of its own.
func (f *harness) task() record.TaskID {
	f.job++
	return record.TaskID{Job: fmt.Sprint("job", f.job), Step: "s"}
}

func (f *harness) endRuns(worker, good, bad int) {
	id := f.workers[worker].ID
	for range good {
		f.ObserveSuccess(id, f.task(), f.now)
	}
	for range bad {
		f.ObserveFailure(id, f.task(), f.now)
	}
}

func (f *harness) review(after time.Duration) []StatusChange {
	f.now += after
	return f.Review(f.now, f.workers)
}

func (f *harness) ejectedCount() int {
	held := 0
	for _, subject := range f.workers {
		if s := f.Status(subject.ID).State; s == Suspect || s == Probation {
			held++
		}
	}
	return held
}

func (f *harness) requireEjected(t *testing.T, want int) {
	t.Helper()
	if got := f.ejectedCount(); got != want {
		t.Fatalf("%d workers are held back, want %d", got, want)
	}
}

func TestReview_EjectsOutliersOnly(t *testing.T) {
	cases := []struct {
		name    string
		workers int
		ends    func(*harness)
		want    int
	}{
		{"one that fails all", 11, func(f *harness) { f.endRuns(0, 0, 3) }, 1},
		{"two failures are too few", 11, func(f *harness) { f.endRuns(0, 0, 2) }, 0},
		{"one that fails a third", 11, func(f *harness) { f.endRuns(0, 8, 4) }, 1},
		{"a few failures among many", 11, func(f *harness) { f.endRuns(0, 13, 3) }, 0},
		{"three of eleven, two held at most", 11, func(f *harness) {
			for i := range 11 {
				f.endRuns(i, 8, 0)
			}
			for i := range 3 {
				f.endRuns(i, 0, 8)
			}
		}, 2},
		{"all fail", 11, func(f *harness) {
			for i := range 11 {
				f.endRuns(i, 0, 8)
			}
		}, 0},
		{"half of two", 2, func(f *harness) { f.endRuns(0, 0, 4); f.endRuns(1, 8, 0) }, 1},
		{"the only one", 1, func(f *harness) { f.endRuns(0, 0, 16) }, 0},
		{"one job that cannot succeed", 11, func(f *harness) {
			for i := range 16 {
				f.ObserveFailure("w0", record.TaskID{Job: "hopeless", Step: "s", Index: i}, f.now)
			}
		}, 0},
		{"tasks that fail elsewhere too", 11, func(f *harness) {
			for range 8 {
				task := f.task()
				f.ObserveFailure("w0", task, f.now)
				f.ObserveFailure("w1", task, f.now)
			}
		}, 0},
		{"two runs that stood still", 11, func(f *harness) {
			f.endRuns(0, 4, 0)
			f.ObserveStall("w0", f.task(), f.now)
			f.ObserveStall("w0", f.task(), f.now)
		}, 1},
		{"one run that stood still", 11, func(f *harness) { f.ObserveStall("w0", f.task(), f.now) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newHarness(c.workers)
			c.ends(f)
			f.review(time.Second)
			f.requireEjected(t, c.want)
		})
	}
}

func TestReview_EjectsWorstFirst(t *testing.T) {
	f := newHarness(4)
	f.endRuns(1, 4, 4)
	f.endRuns(2, 0, 4)
	f.endRuns(3, 16, 0)
	f.review(0)
	f.requireEjected(t, 1)
	if got := f.Status("w2"); got.State != Suspect || got.Reason == "" {
		t.Errorf("w2: %+v", got)
	}
}

func TestReview_OldFailuresExpire(t *testing.T) {
	f := newHarness(11)
	f.endRuns(0, 0, 2)
	f.review(runEndWindow)
	f.endRuns(0, 0, 2)
	f.review(0)
	f.requireEjected(t, 0)
	if len(f.withFaults) != 1 {
		t.Errorf("%d blemished", len(f.withFaults))
	}
}

func TestReview_EjectionTimeDoublesUntilReinstated(t *testing.T) {
	f := newHarness(11)
	f.endRuns(0, 0, 3)
	hold := baseEjectionTime
	for range 8 {
		f.review(0)
		if got := f.Status("w0").State; got != Suspect {
			t.Fatalf("hold %v: %s", hold, got)
		}
		f.review(hold - 1)
		if got := f.Status("w0").State; got != Suspect {
			t.Fatalf("before the end of hold %v: %s", hold, got)
		}
		f.review(1)
		if got := f.Status("w0").State; got != Probation {
			t.Fatalf("after hold %v: %s", hold, got)
		}
		f.endRuns(0, 2, 1)
		hold = min(2*hold, maxEjectionTime)
	}
	f.review(0)
	f.review(maxEjectionTime)
	f.endRuns(0, requiredSuccesses, 0)
	f.review(0)
	if got := f.Status("w0"); got.State != Healthy || got.Reason != "" {
		t.Fatalf("after successes: %+v", got)
	}
	f.review(ejectionsResetAfter)
	f.endRuns(0, 0, 3)
	f.review(0)
	f.review(baseEjectionTime)
	if got := f.Status("w0").State; got != Probation {
		t.Fatalf("strikes were kept: %s", got)
	}
	f.review(maxProbation)
	if got := f.Status("w0").State; got != Healthy {
		t.Fatalf("no work on probation: %s", got)
	}
}

func TestReview_SlowWorkerIsDetectedAndReinstated(t *testing.T) {
	f := newHarness(11)
	pace := func(worker string, run int, ratio float64, ended bool) {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", run), Step: worker}, Number: 1}
		f.ObservePace(worker, RunPace{Run: id, Queue: "q", Ratio: ratio, Ended: ended}, f.now)
	}
	// Estimates of this queue are half of what runs take: that is usual.
	for i := range 20 {
		pace("w1", i, 2, true)
	}
	for i := range minPaceSamples {
		f.review(0)
		if got := f.Status("w0").State; got != Healthy {
			t.Fatalf("after %d runs: %s", i, got)
		}
		pace("w0", i, 4.2, false)
		pace("w0", i, 4.2, false) // the same run again
	}
	f.review(0)
	if got := f.Status("w0"); got.State != Slow || got.Reason != "takes 2.1 times as long as others" {
		t.Fatalf("w0: %+v", got)
	}
	f.review(baseEjectionTime)
	if got := f.Status("w0").State; got != Slow {
		t.Fatalf("runs still slow: %s", got)
	}
	for i := range maxPaceSamples {
		pace("w0", 100+i, 2, true)
	}
	f.review(2 * baseEjectionTime)
	if got := f.Status("w0").State; got != Healthy {
		t.Fatalf("runs as fast as others': %s", got)
	}
	if got := f.Status("w1").State; got != Healthy {
		t.Errorf("w1: %s", got)
	}
}

// TestReview_WrongEstimatesOfOneJobDoNotMakeWorkerSlow: the estimates of one wide job are an
// eighth of what its runs take, on workers that are sound otherwise.
func TestReview_WrongEstimatesOfOneJobDoNotMakeWorkerSlow(t *testing.T) {
	f := newHarness(11)
	pace := func(worker, job string, index int, ratio float64) {
		id := record.RunID{Task: record.TaskID{Job: job, Step: worker, Index: index}, Number: 1}
		f.ObservePace(worker, RunPace{Run: id, Queue: "q", Ratio: ratio, Ended: true}, f.now)
	}
	for i := range 20 {
		pace("w1", fmt.Sprint("j", i), 0, 1)
	}
	pace("w0", "a", 0, 1.1)
	pace("w0", "b", 0, 0.9)
	for i := range maxPaceSamples {
		pace("w0", "wide", i, 8)
		f.review(0)
		if got := f.Status("w0"); got.State != Healthy {
			t.Fatalf("after %d runs of one job: %+v", i+1, got)
		}
	}
}

func TestTracker_ForgetDropsWorker(t *testing.T) {
	f := newHarness(11)
	f.endRuns(0, 0, 3)
	f.review(0)
	f.Forget("w0")
	if got := f.Status("w0").State; got != Healthy || len(f.withFaults) != 0 {
		t.Errorf("%s, %d blemished", got, len(f.withFaults))
	}
}

// TestReview_HealthyWorkersAreRarelyEjected: 2% of tasks fail by their own fault, half of them
// everywhere, and 1% of jobs can never succeed. Over 6,000 tasks on 11 workers
// less than one hold in 1,000 tasks is tolerated.
func TestReview_HealthyWorkersAreRarelyEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newHarness(11)
		random := rapid.Uint64Range(1, 1<<62).Draw(t, "seed")
		next := func(below int) int {
			random = random*6364136223846793005 + 1442695040888963407
			return int(random>>33) % below
		}
		holds := 0
		const jobs, tasks = 1000, 6
		for range jobs {
			job := f.task().Job
			hopeless := next(100) == 0
			for i := range tasks {
				task := record.TaskID{Job: job, Step: "s", Index: i}
				first := next(11)
				own := next(100) < 2
				if !hopeless && !own {
					f.ObserveSuccess(f.workers[first].ID, task, f.now)
					continue
				}
				f.ObserveFailure(f.workers[first].ID, task, f.now)
				second := (first + 1 + next(10)) % 11
				if hopeless || next(2) == 0 {
					f.ObserveFailure(f.workers[second].ID, task, f.now+time.Second)
				} else {
					f.ObserveSuccess(f.workers[second].ID, task, f.now+time.Second)
				}
			}
			for _, change := range f.review(100 * time.Millisecond) {
				if change.State == Suspect {
					holds++
				}
			}
			if held := f.ejectedCount(); held > 2 {
				t.Fatalf("%d held back", held)
			}
		}
		if holds > jobs*tasks/1000 {
			t.Fatalf("%d holds of healthy workers in %d tasks", holds, jobs*tasks)
		}
	})
}

// TestReview_FailingWorkersAreEjected: of 11 workers one or two fail 40% or more of what
// they start; each is held back before it was given 60 tasks.
func TestReview_FailingWorkersAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newHarness(11)
		failing := rapid.IntRange(1, 2).Draw(t, "failing")
		percent := rapid.IntRange(40, 100).Draw(t, "percent")
		random := rapid.Uint64Range(1, 1<<62).Draw(t, "seed")
		next := func(below int) int {
			random = random*6364136223846793005 + 1442695040888963407
			return int(random>>33) % below
		}
		found := map[string]bool{}
		for range 60 {
			for worker := range 11 {
				if worker < failing && next(100) < percent {
					f.endRuns(worker, 0, 1)
					continue
				}
				f.endRuns(worker, 1, 0)
			}
			for _, change := range f.review(100 * time.Millisecond) {
				found[change.WorkerID] = true
			}
		}
		if len(found) != failing || !found["w0"] {
			t.Fatalf("found %v of %d", found, failing)
		}
	})
}

// TestReview_WrongEstimatesOfAllJobsFindOnlySlowWorker: the estimates of each job are off by a
// multiple, up or down, and the runs of a step take alike on all workers but w0.
func TestReview_WrongEstimatesOfAllJobsFindOnlySlowWorker(t *testing.T) {
	const seeds, jobs, width, workers = 50, 24, 8, 11
	for seed := range uint64(seeds) {
		f := newHarness(workers)
		random := rand.New(rand.NewPCG(seed, 0))
		for job := range jobs {
			estimateOff := math.Exp(0.9 * random.NormFloat64())
			first := random.IntN(workers)
			for index := range width {
				number := (first + index) % workers
				ratio := estimateOff * (0.85 + 0.3*random.Float64())
				if number == 0 {
					ratio *= 3
				}
				id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s", Index: index}, Number: 1}
				f.ObservePace(fmt.Sprint("w", number), RunPace{Run: id, Queue: "q", StepSize: width, Ratio: ratio, Ended: true}, f.now)
			}
			f.review(100 * time.Millisecond)
			for number := 1; number < workers; number++ {
				if got := f.Status(fmt.Sprint("w", number)); got.State != Healthy {
					t.Fatalf("seed %d, job %d, w%d: %+v", seed, job, number, got)
				}
			}
		}
		if got := f.Status("w0"); got.State != Slow {
			t.Errorf("seed %d: w0 is %s", seed, got.State)
		}
	}
}

func TestTracker_StepBaselinesAreBounded(t *testing.T) {
	f := newHarness(2)
	for job := range maxSteps + 1 {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s"}, Number: 1}
		f.ObservePace("w0", RunPace{Run: id, StepSize: 4, Ratio: 1, Ended: true}, f.now)
	}
	if len(f.stepBaselines) != 1 {
		t.Errorf("%d steps after one more than %d", len(f.stepBaselines), maxSteps)
	}
	f.ForgetStep(record.TaskID{Job: fmt.Sprint("j", maxSteps), Step: "s"})
	if len(f.stepBaselines) != 0 {
		t.Errorf("%d steps after all were forgotten", len(f.stepBaselines))
	}
}
