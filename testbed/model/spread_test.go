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

// placeBound is how soon a task starts where there is capacity for many times more.
const placeBound = 1500 * time.Millisecond

// TestSpread_TasksStartWithoutDelay: with capacity on every worker, tasks that may not
// share one start as soon as any others. A planner that does not know the rule would
// have its placements rejected by the record, and they would start one after the other.
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
		// So few that no worker is full with one task of each.
		const jobs = 2
		var callers sync.WaitGroup
		for number := range jobs {
			apart := step("apart", 8, payload{WorkMillis: longWork.Milliseconds()})
			apart.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
			one := plannedJob{id: fmt.Sprint("apart-", number), spec: api.JobSpec{Queue: queueName, Steps: []api.StepSpec{apart}}}
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), finishTime)
				defer cancel()
				(&caller{fleet: f, client: client, shown: map[string]bool{}}).follow(ctx, one)
			})
		}
		callers.Wait()
		for _, delay := range checker.StartDelays(f.observed(from, f.now())) {
			if delay.Length() > placeBound {
				t.Errorf("%s started %v after it was ready, want %v at most", delay.Task, delay.Length(), placeBound)
			}
		}
		f.check(from, f.now(), tolerances{minJobs: jobs})
	})
}
