package scheduler

import (
	"log/slog"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// conflictKind is how a heartbeat contradicts the record, in words for the log.
type conflictKind string

const (
	unreadableReport     conflictKind = "malformed run reference"
	aheadOfRecord        conflictKind = "run that the record has not placed"
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
		a.logConflict(worker, runRef(end.Run), endedUnassigned)
		a.countLoss(lossEndedUnassigned)
		a.ends.enqueueClose(run, "its end was reported before it was ordered")
		return true
	})
	differences.lateEnds = slices.DeleteFunc(differences.lateEnds, func(end record.RunEnd) bool {
		if _, open := a.runs[end.Run]; !open {
			return false
		}
		differences.conflicting = append(differences.conflicting, runRef(end.Run))
		a.logConflict(worker, runRef(end.Run), endedOpenElsewhere)
		return true
	})
	differences.started = slices.DeleteFunc(differences.started, func(run *runState) bool { return run.closing })
	for _, run := range differences.started {
		if run.neverAssigned() {
			a.logConflict(worker, runRef(run.id), runningUnassigned)
			run.assignment.seq = worker.seq
		}
	}
	a.logOtherConflicts(worker, differences)
}

// logOtherConflicts logs the conflicts that need no treatment of their own: runs that are
// open on another worker and will be stopped here, runs that the record has not placed, and
// reports that name no run.
func (a *assignments) logOtherConflicts(worker *workerEntry, differences *reconciliation) {
	for _, reference := range differences.unwanted {
		id, ok := parseRun(reference)
		open, known := a.runs[id]
		switch {
		case ok && known && open.worker != worker:
			a.logConflict(worker, reference, runningOpenElsewhere)
		case ok && a.isAheadOfRecord(id):
			a.logConflict(worker, reference, aheadOfRecord)
		}
	}
	for _, end := range differences.lateEnds {
		if a.isAheadOfRecord(end.Run) {
			a.logConflict(worker, runRef(end.Run), aheadOfRecord)
		}
	}
	for _, reference := range differences.unreadable {
		a.logConflict(worker, reference, unreadableReport)
	}
}

// isAheadOfRecord reports whether a run has a number above those of the runs that the record
// has placed for its task. Only a record that is older than the run's assignment explains it.
func (a *assignments) isAheadOfRecord(id record.RunID) bool {
	if open, placed := a.openByTask[id.Task]; placed {
		return id.Number > open.id.Number
	}
	entry, waits := a.pending.find(id.Task)
	return waits && id.Number >= entry.nextRun
}

func (a *assignments) logConflict(worker *workerEntry, run api.RunRef, kind conflictKind) {
	a.metrics.conflicts.WithLabelValues(string(kind)).Inc()
	a.logger.Warn("report conflicts with the record", slog.String("conflict", string(kind)), slog.String("task", run.Task),
		slog.Uint64("run", uint64(run.Run)), slog.String("worker", worker.info.Name),
		slog.String("worker_id", worker.info.ID))
}
