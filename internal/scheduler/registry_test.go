package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// newTestRegistry returns a registry with one worker "w", whose incarnation "w-1" is
// registered and answered.
func newTestRegistry(c *clock, queue *fakePlanner) (*workerRegistry, *workerEntry) {
	registry := newWorkerRegistry(newTestTerm(c, queue))
	registry.timings = defaultTimings()
	worker, _ := registry.register(&record.Worker{Name: "w", ID: "w-1"})
	worker.observeHeartbeat(api.Heartbeat{Seq: 1}, c.now)
	worker.answer(c.now, registry.leaseDuration(), registry.driftMargin())
	registry.refreshPlannerWorker(worker, c.now)
	return &registry, worker
}

func TestRegistry_NewIncarnationReplacesOne(t *testing.T) {
	c, queue := &clock{now: time.Hour}, newFakePlanner()
	registry, first := newTestRegistry(c, queue)
	second, replaced := registry.register(&record.Worker{Name: "w", ID: "w-2"})
	registry.updatePlannerWorker(second)
	if replaced != first || first.registered || registry.byID["w-1"] != nil {
		t.Errorf("got replaced %+v, w-1 registered %t and known %t; want w-1 replaced and dropped", replaced, first.registered, registry.byID["w-1"] != nil)
	}
	if _, known := queue.workers["w-1"]; known || len(queue.workers) != 1 {
		t.Errorf("got planner workers %v, want w-2 only", queue.workers)
	}
	if again, replaced := registry.register(&record.Worker{Name: "w", ID: "w-2"}); again != second || replaced != nil {
		t.Errorf("registered again: got %p, replaced %p; want the same entry and none replaced", again, replaced)
	}
}

func TestRegistry_ForgetsOnlyTheRegisteredIncarnation(t *testing.T) {
	c, queue := &clock{now: time.Hour}, newFakePlanner()
	registry, _ := newTestRegistry(c, queue)
	if registry.forget(&record.Worker{Name: "w", ID: "w-0"}) || len(registry.byName) != 1 {
		t.Error("forgot an incarnation that is not registered, want w-1 kept")
	}
	if !registry.forget(&record.Worker{Name: "w", ID: "w-1"}) || len(registry.byID)+len(registry.byName)+len(queue.workers) != 0 {
		t.Errorf("got byID %v, byName %v, planner workers %v after forget, want all empty", registry.byID, registry.byName, queue.workers)
	}
}

func TestRegistry_LeaseExpiresAfterMarginAndClosesRuns(t *testing.T) {
	c, queue, ends := &clock{now: time.Hour}, newFakePlanner(), &fakeRunEnder{}
	registry, worker := newTestRegistry(c, queue)
	run := testRun(1)
	run.worker = worker
	worker.runs[run.id] = run
	expiry := c.now + registry.leaseDuration() + registry.driftMargin()
	registry.expireLeases(expiry, ends)
	if len(ends.closed) != 0 || worker.lease.expired {
		t.Fatalf("at the end of the lease: got %d runs closed or the lease expired, want neither", len(ends.closed))
	}
	registry.expireLeases(expiry+1, ends)
	if len(ends.closed) != 1 || !worker.lease.expired || queue.workers["w-1"].Usable {
		t.Errorf("after the lease: got %d runs closed, expired %t, usable %t; want 1, true, false", len(ends.closed), worker.lease.expired, queue.workers["w-1"].Usable)
	}
}

func TestRegistry_PlannerIsUpdatedOnChangeOnly(t *testing.T) {
	c, queue := &clock{now: time.Hour}, newFakePlanner()
	registry, worker := newTestRegistry(c, queue)
	if registry.refreshPlannerWorkers(c.now) {
		t.Error("got a planner update without a change, want none")
	}
	c.now += registry.leaseDuration()
	if !registry.refreshPlannerWorkers(c.now) || queue.workers["w-1"].Usable {
		t.Error("got no update to unusable, want one once no answer was accepted within the lease")
	}
	worker.drain.requested = true
	if registry.refreshPlannerWorkers(c.now) {
		t.Error("got a planner update for a worker that was already unusable, want none")
	}
}

// TestRegistry_ReplacementMustBeProvenAliveLater guards against replacing an incarnation by
// its predecessor: another one at the address that was last proven alive before this one
// was known may have ended.
func TestRegistry_ReplacementMustBeProvenAliveLater(t *testing.T) {
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
			c, queue := &clock{now: known}, newFakePlanner()
			registry, worker := newTestRegistry(c, queue)
			worker.info.Address = "a/1"
			other := registry.add(record.Worker{Name: "other", ID: "other-1", Address: "a/1"}, known)
			other.provenAliveAt = test.provenAt
			registry.claimAddress(other)
			if got := registry.mustExpireReplaced(worker, known+time.Minute); got != test.want {
				t.Errorf("got replaced %t, want %t", got, test.want)
			}
		})
	}
}
