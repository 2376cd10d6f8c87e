package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// testRegistry is a registry of one worker "w", whose incarnation "w-1" is registered
// and answered.
func testRegistry(c *clock, queue *fakeQueue) (*workerRegistry, *workerEntry) {
	registry := newWorkerRegistry(testTerm(c, queue))
	registry.timings = testTimings()
	worker, _ := registry.register(&record.Worker{Name: "w", ID: "w-1"})
	worker.observeHeartbeat(api.Heartbeat{Seq: 1}, c.now)
	worker.answer(c.now, registry.leaseDuration(), registry.driftMargin())
	registry.refreshPlannerWorker(worker, c.now)
	return &registry, worker
}

func TestRegistry_NewIncarnationReplacesOne(t *testing.T) {
	c, queue := &clock{now: time.Hour}, newFakeQueue()
	registry, first := testRegistry(c, queue)
	second, replaced := registry.register(&record.Worker{Name: "w", ID: "w-2"})
	registry.updatePlannerWorker(second)
	if replaced != first || first.registered || registry.byID["w-1"] != nil {
		t.Errorf("replaced %+v, registered %t, known %t", replaced, first.registered, registry.byID["w-1"] != nil)
	}
	if _, known := queue.workers["w-1"]; known || len(queue.workers) != 1 {
		t.Errorf("the planner knows %v, want w-2", queue.workers)
	}
	if again, replaced := registry.register(&record.Worker{Name: "w", ID: "w-2"}); again != second || replaced != nil {
		t.Errorf("registered again: %p replaces %p, want the same and none", again, replaced)
	}
}

func TestRegistry_ForgetsOnlyTheRegisteredIncarnation(t *testing.T) {
	c, queue := &clock{now: time.Hour}, newFakeQueue()
	registry, _ := testRegistry(c, queue)
	if registry.forget(&record.Worker{Name: "w", ID: "w-0"}) || len(registry.byName) != 1 {
		t.Error("forgot an incarnation that is not registered")
	}
	if !registry.forget(&record.Worker{Name: "w", ID: "w-1"}) || len(registry.byID)+len(registry.byName)+len(queue.workers) != 0 {
		t.Errorf("kept after forgetting: %v, %v, planner %v", registry.byID, registry.byName, queue.workers)
	}
}

func TestRegistry_LeaseExpiresAfterMarginAndClosesRuns(t *testing.T) {
	c, queue, ends := &clock{now: time.Hour}, newFakeQueue(), &fakeEnder{}
	registry, worker := testRegistry(c, queue)
	run := testRun(1)
	run.worker = worker
	worker.runs[run.id] = run
	expiry := c.now + registry.leaseDuration() + registry.driftMargin()
	registry.expireLeases(expiry, ends)
	if len(ends.closed) != 0 || worker.lease.expired {
		t.Fatalf("expired at its end: %d runs closed", len(ends.closed))
	}
	registry.expireLeases(expiry+1, ends)
	if len(ends.closed) != 1 || !worker.lease.expired || queue.workers["w-1"].Usable {
		t.Errorf("%d runs closed, expired %t, usable %t", len(ends.closed), worker.lease.expired, queue.workers["w-1"].Usable)
	}
}

func TestRegistry_PlannerIsUpdatedOnChangeOnly(t *testing.T) {
	c, queue := &clock{now: time.Hour}, newFakeQueue()
	registry, worker := testRegistry(c, queue)
	if registry.refreshPlannerWorkers(c.now) {
		t.Error("updated although nothing changed")
	}
	c.now += registry.leaseDuration()
	if !registry.refreshPlannerWorkers(c.now) || queue.workers["w-1"].Usable {
		t.Error("still usable once no answer was accepted within the lease")
	}
	worker.drain.requested = true
	if registry.refreshPlannerWorkers(c.now) {
		t.Error("updated although it was not usable before")
	}
}

// TestRegistry_OnlyAnIncarnationThatLivedLaterReplaces: that another one lives at the
// address proves nothing if it was last proven alive before this one was known.
func TestRegistry_OnlyAnIncarnationThatLivedLaterReplaces(t *testing.T) {
	const known = time.Hour
	for _, test := range []struct {
		name     string
		provenAt time.Duration
		want     bool
	}{
		{"proven alive before", known - 1, false},
		{"proven alive after", known + 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, queue := &clock{now: known}, newFakeQueue()
			registry, worker := testRegistry(c, queue)
			worker.info.Address = "a/1"
			other := registry.add(record.Worker{Name: "other", ID: "other-1", Address: "a/1"}, known)
			other.provenAliveAt = test.provenAt
			registry.claimAddress(other)
			if got := registry.replaced(worker, known+time.Minute); got != test.want {
				t.Errorf("replaced %t, want %t", got, test.want)
			}
		})
	}
}
