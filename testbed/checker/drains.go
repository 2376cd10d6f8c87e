package checker

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkDrains (P7): no task starts on a drained worker after 2 s, or in an evacuated
// zone after 5 s, until a configuration that ends the drain was sent.
func (f *facts) checkDrains() []Violation {
	var found []Violation
	puts := f.acceptedPuts()
	for index, put := range puts {
		until := f.input.EndedAt
		if index+1 < len(puts) {
			until = puts[index+1].Sent
		}
		for _, one := range f.runs {
			if one.Mono >= until {
				break
			}
			if bound, drained := f.drainBound(one.Worker, put.Config); drained && one.Mono > put.Answered.Add(bound) {
				found = append(found, Violation{P7, one.Task, "started on " + one.Worker + " although that is drained", []monoclock.Nanos{one.Mono, put.Answered}})
			}
		}
	}
	return found
}

func (f *facts) drainBound(worker string, config *api.Config) (time.Duration, bool) {
	if config == nil {
		return 0, false
	}
	if slices.Contains(config.Drains.Workers, worker) {
		return workerDrainBound, true
	}
	return zoneDrainBound, slices.Contains(config.Drains.Zones, f.workers[worker].Zone)
}
