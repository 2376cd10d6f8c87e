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
	pace := func(worker string, run int, ratio float64, ended bool) {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", run), Step: worker}, Number: 1}
		h.ObservePace(worker, RunPace{Run: id, Queue: "q", Ratio: ratio, Ended: ended}, h.now)
	}
	// All runs of this queue take twice their estimates.
	for i := range 20 {
		pace("w1", i, 2, true)
	}
	for i := range minPaceSamples {
		h.review(0)
		if got := h.Status("w0").State; got != Healthy {
			t.Fatalf("after %d runs: %s, want no status change yet", i, got)
		}
		pace("w0", i, 4.2, false)
		pace("w0", i, 4.2, false) // the same run again
	}
	h.review(0)
	if got := h.Status("w0"); got.State != Slow || got.Reason != "takes 2.1 times as long as others" {
		t.Fatalf("w0: %+v", got)
	}
	h.review(baseEjectionTime)
	if got := h.Status("w0").State; got != Slow {
		t.Fatalf("runs still slow: %s", got)
	}
	for i := range maxPaceSamples {
		pace("w0", 100+i, 2, true)
	}
	h.review(2 * baseEjectionTime)
	if got := h.Status("w0").State; got != Healthy {
		t.Fatalf("runs as fast as others': %s", got)
	}
	if got := h.Status("w1").State; got != Healthy {
		t.Errorf("w1: %s", got)
	}
}

// TestReview_WrongEstimatesOfOneJobDoNotMakeWorkerSlow: the runs of one job with many
// tasks take eight times their estimates, on a healthy worker.
func TestReview_WrongEstimatesOfOneJobDoNotMakeWorkerSlow(t *testing.T) {
	h := newHarness(11)
	pace := func(worker, job string, index int, ratio float64) {
		id := record.RunID{Task: record.TaskID{Job: job, Step: worker, Index: index}, Number: 1}
		h.ObservePace(worker, RunPace{Run: id, Queue: "q", Ratio: ratio, Ended: true}, h.now)
	}
	for i := range 20 {
		pace("w1", fmt.Sprint("j", i), 0, 1)
	}
	pace("w0", "a", 0, 1.1)
	pace("w0", "b", 0, 0.9)
	for i := range maxPaceSamples {
		pace("w0", "wide", i, 8)
		h.review(0)
		if got := h.Status("w0"); got.State != Healthy {
			t.Fatalf("after %d runs of one job: %+v", i+1, got)
		}
	}
}

// TestReview_WrongEstimatesOfAllJobsFindOnlySlowWorker: the estimates of each job are
// wrong by one factor, and the runs of a step take about as long on all workers but w0.
func TestReview_WrongEstimatesOfAllJobsFindOnlySlowWorker(t *testing.T) {
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
					t.Fatalf("seed %d, job %d, w%d: %+v", seed, job, number, got)
				}
			}
		}
		if got := h.Status("w0"); got.State != Slow {
			t.Errorf("seed %d: w0 is %s", seed, got.State)
		}
	}
}

// TestReview_OwnRunsAreNotTheBaseline: the ended runs of a step on the worker itself do
// not make its pace usual.
func TestReview_OwnRunsAreNotTheBaseline(t *testing.T) {
	h := newHarness(11)
	pace := func(worker string, job, index int, ratio float64) {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s", Index: index}, Number: 1}
		h.ObservePace(worker, RunPace{Run: id, Queue: "q", StepSize: 16, Ratio: ratio, Ended: true}, h.now)
	}
	for job := range minPaceJobs {
		pace("w1", job, 0, 1)
		pace("w2", job, 1, 1)
		for index := range 5 {
			pace("w0", job, 2+index, 3)
		}
	}
	h.review(0)
	if got := h.Status("w0"); got.State != Slow {
		t.Errorf("w0: %+v, want slow", got)
	}
}
