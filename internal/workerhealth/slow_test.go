package workerhealth

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/record"
)

func TestReview_SlowWorkerIsDetectedAndReinstated(t *testing.T) {
	h := newHarness(11)
	observePace := func(worker string, run int, ratio float64, ended bool) {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", run), Step: worker}, Number: 1}
		h.ObservePace(worker, RunPace{Run: id, Queue: "q", Ratio: ratio, Ended: ended}, h.now)
	}
	// The baseline of the queue: runs take twice their estimates.
	for i := range 20 {
		observePace("w1", i, 2, true)
	}
	for i := range minPaceSamples {
		h.review(0)
		if got := h.Status("w0").State; got != Healthy {
			t.Fatalf("after %d runs: got %s, want trusted", i, got)
		}
		observePace("w0", i, 4.2, false)
		observePace("w0", i, 4.2, false) // replaces the pace of the same run
	}
	h.review(0)
	if got := h.Status("w0"); got.State != Slow || got.Reason != "takes 2.1 times as long as others" {
		t.Fatalf("status of w0: got %+v, want slow, 2.1 times as long as others", got)
	}
	h.review(baseEjectionTime)
	if got := h.Status("w0").State; got != Slow {
		t.Fatalf("after baseEjectionTime with slow runs: got %s, want slow", got)
	}
	for i := range maxPaceSamples {
		observePace("w0", 100+i, 2, true)
	}
	h.review(2 * baseEjectionTime)
	if got := h.Status("w0").State; got != Healthy {
		t.Fatalf("after runs at the pace of the baseline: got %s, want trusted", got)
	}
	if got := h.Status("w1").State; got != Healthy {
		t.Errorf("status of w1: got %s, want trusted", got)
	}
}

// TestReview_WrongEstimatesOfOneJobDoNotMakeWorkerSlow checks that a worker stays healthy
// although the runs of one job with many tasks take eight times their estimates on it.
func TestReview_WrongEstimatesOfOneJobDoNotMakeWorkerSlow(t *testing.T) {
	h := newHarness(11)
	observePace := func(worker, job string, index int, ratio float64) {
		id := record.RunID{Task: record.TaskID{Job: job, Step: worker, Index: index}, Number: 1}
		h.ObservePace(worker, RunPace{Run: id, Queue: "q", Ratio: ratio, Ended: true}, h.now)
	}
	for i := range 20 {
		observePace("w1", fmt.Sprint("j", i), 0, 1)
	}
	observePace("w0", "a", 0, 1.1)
	observePace("w0", "b", 0, 0.9)
	for i := range maxPaceSamples {
		observePace("w0", "wide", i, 8)
		h.review(0)
		if got := h.Status("w0"); got.State != Healthy {
			t.Fatalf("after %d runs of one job: got %+v, want trusted", i+1, got)
		}
	}
}

// TestReview_FindsOnlySlowWorkerDespiteWrongEstimates checks that only w0, on which runs
// take three times as long, becomes slow. The estimates of each job are wrong by the same
// factor; on all other workers the runs of a step take about the same time.
func TestReview_FindsOnlySlowWorkerDespiteWrongEstimates(t *testing.T) {
	const seeds, jobs, width, workers = 50, 24, 8, 11
	for seed := range uint64(seeds) {
		h := newHarness(workers)
		random := rand.New(rand.NewPCG(seed, 0))
		for job := range jobs {
			estimateError := math.Exp(0.9 * random.NormFloat64())
			first := random.IntN(workers)
			for index := range width {
				number := (first + index) % workers
				ratio := estimateError * (0.85 + 0.3*random.Float64())
				if number == 0 {
					ratio *= 3
				}
				id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s", Index: index}, Number: 1}
				h.ObservePace(fmt.Sprint("w", number), RunPace{Run: id, Queue: "q", StepSize: width, Ratio: ratio, Ended: true}, h.now)
			}
			h.review(100 * time.Millisecond)
			for number := 1; number < workers; number++ {
				if got := h.Status(fmt.Sprint("w", number)); got.State != Healthy {
					t.Fatalf("seed %d, job %d, w%d: got %+v, want trusted", seed, job, number, got)
				}
			}
		}
		if got := h.Status("w0"); got.State != Slow {
			t.Errorf("seed %d, w0: got %s, want slow", seed, got.State)
		}
	}
}

// TestReview_BaselineExcludesOwnRuns checks that a slow worker is detected although most
// ended runs of each step ran on the worker itself: they are not in its baseline.
func TestReview_BaselineExcludesOwnRuns(t *testing.T) {
	h := newHarness(11)
	observePace := func(worker string, job, index int, ratio float64) {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s", Index: index}, Number: 1}
		h.ObservePace(worker, RunPace{Run: id, Queue: "q", StepSize: 16, Ratio: ratio, Ended: true}, h.now)
	}
	for job := range minPaceJobs {
		observePace("w1", job, 0, 1)
		observePace("w2", job, 1, 1)
		for index := range 5 {
			observePace("w0", job, 2+index, 3)
		}
	}
	h.review(0)
	if got := h.Status("w0"); got.State != Slow {
		t.Errorf("status of w0: got %+v, want slow", got)
	}
}
