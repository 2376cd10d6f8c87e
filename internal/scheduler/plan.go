package scheduler

import (
	"log/slog"

	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// planLoop places waiting tasks whenever the planner is woken, until the term ends.
func (l *leader) planLoop() {
	for {
		select {
		case <-l.context.Done():
			return
		case <-l.wakePlanner:
		}
		for l.commitPlacements() {
		}
	}
}

// commitPlacements plans and commits one batch of placements. It reports whether planning
// again at once is useful: false if there was nothing to place, if every placement was
// rejected, or if the term ended.
func (l *leader) commitPlacements() bool {
	placements := l.plan()
	if len(placements) == 0 {
		return false
	}
	command := record.Command{PlaceTasks: &record.PlaceTasks{Placements: placements}}
	result, done := l.proposeUntilCommitted("place", command)
	if !done {
		return false
	}
	l.metrics.placements.Add(float64(len(placements) - len(result.Rejected)))
	l.requeueRejected(result.Rejected)
	// If every placement was rejected, planning again at once would be a busy loop: the
	// next change of the record or the next tick wakes the planner.
	return len(result.Rejected) < len(placements)
}

// plan asks the planner for at most planLimit decisions and its preemptions. It returns the
// placements of tasks that still wait, and applies the preemptions.
func (l *leader) plan() []record.Placement {
	clusterNow := l.log.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planner.SetTime(clusterNow)
	started := l.now()
	decisions := l.planner.Plan(planLimit)
	preemptions := l.planner.Preemptions()
	l.metrics.planSeconds.Observe((l.now() - started).Seconds())
	placements := make([]record.Placement, 0, len(decisions))
	for _, decision := range decisions {
		entry, waits := l.pending.find(decision.Task)
		if !waits {
			l.planner.Release(decision.Task)
			continue
		}
		entry.placing = true
		placements = append(placements, record.Placement{
			Run:      record.RunID{Task: decision.Task, Number: entry.nextRun},
			WorkerID: decision.WorkerID,
			Worker:   decision.Worker,
		})
	}
	l.preempt(preemptions)
	return placements
}

// preempt stops the runs of preempted tasks. A run whose placement is still being committed
// is stopped as soon as it is open.
func (l *leader) preempt(preemptions []placement.Preemption) {
	for _, preemption := range preemptions {
		run, open := l.assignments.openByTask[preemption.Task]
		entry, waits := l.pending.find(preemption.Task)
		switch {
		case open:
			l.preemptRun(run)
		case waits && entry.placing:
			l.pending.preemptOnOpen[preemption.Task] = true
		}
	}
}

// preemptRun stops a run to free its capacity. A run that was never assigned is closed
// instead.
func (l *leader) preemptRun(run *runState) {
	l.logger.Info("run preempted", slog.String("task", run.id.Task.String()), slog.Uint64("run", uint64(run.id.Number)))
	l.proposer.closeIfNeverAssigned(run)
	l.proposer.enqueueStop(run, record.StopPreempted)
}

// requeueRejected offers the tasks again whose placements the record rejected because its
// state had changed since they were planned.
func (l *leader) requeueRejected(rejected []record.RunID) {
	if len(rejected) == 0 {
		return
	}
	l.logger.Debug("placements rejected", slog.Int("count", len(rejected)))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range rejected {
		if entry := l.pending.setRejected(run.Task); entry != nil {
			l.planner.Release(run.Task)
			l.offer(entry)
		}
	}
}
