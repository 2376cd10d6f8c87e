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

// clock is a settable clock for components that are tested without a leader.
type clock struct{ now time.Duration }

// environment returns an environment whose monotonic and cluster clocks are c.
func (c *clock) environment() *environment {
	return &environment{
		logger:     slog.New(slog.DiscardHandler),
		metrics:    newMetrics(prometheus.NewRegistry()),
		now:        func() time.Duration { return c.now },
		clusterNow: func() record.Millis { return record.MillisOf(c.now) },
	}
}

// fakeRunEnder implements runEnder and records the runs that components close or stop.
type fakeRunEnder struct{ closed, stopped []*runState }

func (f *fakeRunEnder) enqueueClose(run *runState, _ string) { f.closed = append(f.closed, run) }

func (f *fakeRunEnder) enqueueStop(run *runState, _ record.StopReason) {
	f.stopped = append(f.stopped, run)
}

func (f *fakeRunEnder) closeIfNeverAssigned(run *runState) {
	if run.neverAssigned() {
		f.enqueueClose(run, "")
	}
}

// fakePlanner implements the parts of Planner that track waiting tasks and workers.
type fakePlanner struct {
	Planner
	waiting []placement.Task
	workers map[string]placement.Worker
}

func newFakePlanner() *fakePlanner {
	return &fakePlanner{workers: make(map[string]placement.Worker)}
}

func (f *fakePlanner) Add(task placement.Task) { f.waiting = append(f.waiting, task) }

func (f *fakePlanner) Remove(id record.TaskID) {
	f.waiting = slices.DeleteFunc(f.waiting, func(task placement.Task) bool { return task.ID == id })
}

func (f *fakePlanner) SetWorker(worker placement.Worker) { f.workers[worker.ID] = worker }

func (f *fakePlanner) RemoveWorker(id string) { delete(f.workers, id) }

// newTestTerm returns a term for components that are tested without a leader.
func newTestTerm(c *clock, queue *fakePlanner) *term {
	return &term{environment: c.environment(), planner: queue, startedAt: c.now}
}

// defaultTimings returns the default timings of a configuration.
func defaultTimings() *api.TimingConfig {
	config := (&api.Config{}).WithDefaults()
	return &config.Timings
}
