package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// clock is the time of components that are tested without a leader.
type clock struct{ now time.Duration }

// environment returns one whose clocks are this one.
func (c *clock) environment() *environment {
	return &environment{
		logger:     slog.New(slog.DiscardHandler),
		metrics:    newMetrics(prometheus.NewRegistry()),
		now:        func() time.Duration { return c.now },
		clusterNow: func() record.Millis { return record.MillisOf(c.now) },
	}
}

// fakeEnder records which runs components want ended.
type fakeEnder struct{ closed, stopped []*runState }

func (f *fakeEnder) enqueueClose(run *runState, _ string) { f.closed = append(f.closed, run) }

func (f *fakeEnder) enqueueStop(run *runState, _ record.StopReason) {
	f.stopped = append(f.stopped, run)
}

func (f *fakeEnder) closeIfNeverAssigned(run *runState) {
	if run.neverAssigned() {
		f.enqueueClose(run, "")
	}
}

// fakeQueue is the planner's queue of tasks and its picture of workers.
type fakeQueue struct {
	Planner
	waiting []placement.Task
	workers map[string]placement.Worker
}

func newFakeQueue() *fakeQueue {
	return &fakeQueue{workers: make(map[string]placement.Worker)}
}

func (f *fakeQueue) Add(task placement.Task) { f.waiting = append(f.waiting, task) }

func (f *fakeQueue) Remove(id record.TaskID) {
	f.waiting = slices.DeleteFunc(f.waiting, func(task placement.Task) bool { return task.ID == id })
}

func (f *fakeQueue) SetWorker(worker placement.Worker) { f.workers[worker.ID] = worker }

func (f *fakeQueue) RemoveWorker(id string) { delete(f.workers, id) }

// testTerm is a term of components that are tested without a leader.
func testTerm(c *clock, queue *fakeQueue) *term {
	return &term{environment: c.environment(), planner: queue, startedAt: c.now}
}

// testTimings are the timings that such components have in force.
func testTimings() *api.TimingConfig {
	config := (&api.Config{}).WithDefaults()
	return &config.Timings
}
