package scheduler

import (
	"log/slog"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// conflictKind is how a heartbeat contradicts the record, in words for the log.
type conflictKind string

const (
	endedUnassigned      conflictKind = "end of a run that was not assigned"
	endedOpenElsewhere   conflictKind = "end of a run that is open on another worker"
	runningUnassigned    conflictKind = "running run that was not assigned"
	runningOpenElsewhere conflictKind = "running run that is open on another worker"
)

// quarantineConflicts removes from the differences the reported ends that contradict the
// record, so that they are not committed. They are logged and acknowledged. A run that is
// open on another worker stays open there. A run that ended without ever having been
// assigned is closed as lost, since its worker would no longer start it; one that is
// running without having been assigned counts as assigned from now on.
func (a *assignments) quarantineConflicts(worker *workerEntry, differences *reconciliation) {
	differences.ends = slices.DeleteFunc(differences.ends, func(end record.RunEnd) bool {
		run := worker.runs[end.Run]
		if !run.neverAssigned() {
			return false
		}
		differences.conflicting = append(differences.conflicting, runRef(end.Run))
		a.logConflict(worker, end.Run, endedUnassigned)
		a.ends.enqueueClose(run, "its end was reported before it was ordered")
		return true
	})
	differences.lateEnds = slices.DeleteFunc(differences.lateEnds, func(end record.RunEnd) bool {
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

func (a *assignments) logConflict(worker *workerEntry, run record.RunID, kind conflictKind) {
	a.logger.Warn("report conflicts with the record", slog.String("conflict", string(kind)), slog.String("task", run.Task.String()),
		slog.Uint64("run", uint64(run.Number)), slog.String("worker", worker.info.Name),
		slog.String("worker_id", worker.info.ID))
}
