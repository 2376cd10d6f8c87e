package model

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/checker"
)

// maxStartDelay bounds the time from ready to start of a task when workers have ample
// spare capacity.
const maxStartDelay = 1500 * time.Millisecond

// TestSpread_TasksStartWithoutDelay guards against a planner that ignores the spread rule:
// the record would reject its placements of several tasks on one worker, and the tasks
// would start one after the other. With spare capacity on every worker, tasks that must not
// share a worker start as soon as other tasks.
func TestSpread_TasksStartWithoutDelay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, grownCartago(), 1)
		defer f.close()
		f.newOperators(0)
		f.startWorkers()
		time.Sleep(time.Second)
		from := f.now()
		client := f.newClient(nil)
		// With so few jobs no worker is full when it runs one task of each.
		const jobs = 2
		var callers sync.WaitGroup
		for number := range jobs {
			spreadStep := step("apart", 8, payload{WorkMillis: longTaskDuration.Milliseconds()})
			spreadStep.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
			one := plannedJob{id: fmt.Sprint("apart-", number), spec: api.JobSpec{Queue: queueName, Steps: []api.StepSpec{spreadStep}}}
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), completionTimeout)
				defer cancel()
				(&caller{fleet: f, client: client, reportedSucceeded: map[string]bool{}}).follow(ctx, one)
			})
		}
		callers.Wait()
		for _, delay := range checker.StartDelays(f.history(from, f.now())) {
			if delay.Length() > maxStartDelay {
				t.Errorf("got start of %s %v after it was ready, want at most %v", delay.Task, delay.Length(), maxStartDelay)
			}
		}
		f.check(from, f.now(), tolerances{minJobs: jobs})
	})
}
