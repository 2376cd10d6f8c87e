package main

import (
	"slices"
	"strings"
	"time"
)

// The bounds of the pages that the case uses.
const (
	finishTime   = 14 * time.Second
	nothingRuns  = 3 * time.Second
	observedTime = 12 * time.Second
)

// The largest jobs of the class whose jobs come at once: five steps of 96 tasks.
const (
	largestSteps = 5
	largestWidth = 96
	// markup fills the text. As JSON from the product each bracket takes six bytes, so that a
	// start of a task takes some 17 KB.
	markup = "<->"
)

// answerCase hands in two of the largest jobs at once, with small tasks and a text of 4,000
// bytes of markup. Without the disruption it hands in the same tasks as ten smaller jobs, one
// each half second. The answers to the heartbeats that carry the starts may hold 4 MiB at
// most. finish_s after the last job was accepted, no job may have nothing running for 3 s
// while there is room for it.
func answerCase(f *fleet, trouble bool) (int, error) {
	workers, err := f.boot()
	defer endAll(workers)
	if err != nil {
		return notPlayed, err
	}
	time.Sleep(2 * time.Second)
	jobs, steps, pause := 2*largestSteps, 1, 500*time.Millisecond
	if trouble {
		jobs, steps, pause = 2, largestSteps, 0
	}
	one := step{Count: largestWidth, CPU: 10, MemMb: 16, EstimateMs: 1000}
	var ids []string
	for range jobs {
		id := newID()
		if status := f.submit(id, text(1000, 4000, markup), slices.Repeat([]step{one}, steps)); status != 200 {
			f.record.say("job %s was not accepted: %d", id, status)
			return notPlayed, nil
		}
		ids = append(ids, id)
		time.Sleep(pause)
	}
	tasks := jobs * steps * largestWidth
	f.record.say("%d jobs of %d steps of %d tasks accepted; all %d tasks ask for %.1f of %d cores", jobs, steps, largestWidth, tasks, float64(tasks)/100, workerCount*64)
	time.Sleep(finishTime)
	return f.observeJobs(workers, ids)
}

// observeJobs looks for a job of which nothing runs for 3 s although it has not ended.
func (f *fleet) observeJobs(workers []*worker, ids []string) (int, error) {
	idleSince := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	for end := time.Now().Add(observedTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		for _, id := range ids {
			if runsOf(workers, id) > 0 {
				delete(idleSince, id)
				continue
			}
			if since, idle := idleSince[id]; idle {
				longest[id] = max(longest[id], now.Sub(since))
			} else {
				idleSince[id] = now
			}
		}
	}
	starts, tooLarge := 0, 0
	for _, w := range workers {
		_, started, large, _ := w.counts()
		starts, tooLarge = starts+started, tooLarge+large
	}
	f.record.say("runs started since the beginning: %d; answers over 4 MiB, which workers drop: %d", starts, tooLarge)
	result := held
	for _, id := range ids {
		state, status := f.state(id)
		if state == "succeeded" {
			continue
		}
		f.record.say("job %s: state %q (status %d), nothing of it ran for %.1f s", id, state, status, longest[id].Seconds())
		if longest[id] >= nothingRuns {
			result = broken
		}
	}
	return result, nil
}

// runsOf counts the open runs of a job's tasks.
func runsOf(workers []*worker, job string) int {
	count := 0
	for _, w := range workers {
		w.mutex.Lock()
		for task := range w.running {
			if strings.HasPrefix(task, job+".") {
				count++
			}
		}
		w.mutex.Unlock()
	}
	return count
}

func endAll(workers []*worker) {
	for _, w := range workers {
		w.endOnce()
	}
}
