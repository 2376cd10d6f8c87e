package scheduler

import (
	"log/slog"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// conflict is what a heartbeat says against the record, as it is logged.
type conflict string

const (
	endedUnassigned      conflict = "end of a run that was not ordered"
	endedOpenElsewhere   conflict = "end of a run that is open on another worker"
	runningUnassigned    conflict = "a run goes on that was not ordered"
	runningOpenElsewhere conflict = "a run goes on that is open on another worker"
)

// quarantineConflicts takes out of what a heartbeat showed the reports that
// cannot be true by the record, so that nothing follows from a worker's report
// against it. They are logged and acknowledged. A run that is open elsewhere
// stays open there. A run that was never assigned is closed as lost, as its worker
// would not start it any more; one that still runs counts as assigned.
func (a *assignments) quarantineConflicts(worker *workerEntry, differences *reconciliation) {
	differences.ended = slices.DeleteFunc(differences.ended, func(end record.RunEnd) bool {
		run := worker.runs[end.Run]
		if !run.neverAssigned() {
			return false
		}
		differences.conflicting = append(differences.conflicting, runRef(end.Run))
		a.logConflict(worker, end.Run, endedUnassigned)
		a.ends.enqueueClose(run, "its end was reported before it was ordered")
		return true
	})
	differences.late = slices.DeleteFunc(differences.late, func(end record.RunEnd) bool {
		if _, open := a.runs[end.Run]; !open {
			return false
		}
		differences.conflicting = append(differences.conflicting, runRef(end.Run))
		a.logConflict(worker, end.Run, endedOpenElsewhere)
		return true
	})
	differences.started = slices.DeleteFunc(differences.started, func(run *runState) bool { return run.closing })
	for _, run := range differences.started {
		if run.neverAssigned() {
			a.logConflict(worker, run.id, runningUnassigned)
			run.assignment.seq = worker.seq
		}
	}
	for _, reference := range differences.unwanted {
		id, ok := parseRun(reference)
		if open, elsewhere := a.runs[id]; ok && elsewhere && open.worker != worker {
			a.logConflict(worker, id, runningOpenElsewhere)
		}
	}
}

func (a *assignments) logConflict(worker *workerEntry, run record.RunID, what conflict) {
	a.logger.Warn("report conflicts with the record", slog.String("conflict", string(what)), slog.String("task", run.Task.String()),
		slog.Uint64("run", uint64(run.Number)), slog.String("worker", worker.info.Name),
		slog.String("worker_id", worker.info.ID))
}
