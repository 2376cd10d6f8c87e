package checker

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkDrains (P7): once a configuration with a drain was acknowledged, no task starts
// on a drained worker after 2 s, or in an evacuated zone after 5 s. The check of a
// configuration ends when the next acknowledged one was sent.
func (f *facts) checkDrains() []Violation {
	var found []Violation
	puts := f.acceptedPuts()
	for index, put := range puts {
		until := f.input.EndedAt
		if index+1 < len(puts) {
			until = puts[index+1].Sent
		}
		for _, taskRun := range f.runs {
			if taskRun.Mono >= until {
				break
			}
			if bound, drained := f.drainBound(taskRun.Worker, put.Config); drained && taskRun.Mono > put.Answered.Add(bound) {
				found = append(found, Violation{P7, taskRun.Task, "started on " + taskRun.Worker + " although that is drained", []monoclock.Nanos{taskRun.Mono, put.Answered}})
			}
		}
	}
	return found
}

// drainBound returns how long after the acknowledgement of a configuration tasks may
// still start on a worker that it drains, and whether it drains the worker.
func (f *facts) drainBound(worker string, config *api.Config) (time.Duration, bool) {
	if config == nil {
		return 0, false
	}
	if slices.Contains(config.Drains.Workers, worker) {
		return workerDrainBound, true
	}
	return zoneDrainBound, slices.Contains(config.Drains.Zones, f.workers[worker].Zone)
}
