package scheduler

import (
	"log/slog"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// reconciliation is what follows from one heartbeat: the differences between
// the record's open runs on the worker and what the worker lists.
type reconciliation struct {
	// started are runs seen for the first time.
	started []*runState
	// startedTasks are tasks of which a run has surely started, seen for the first time or
	// reported again.
	startedTasks []record.TaskID
	// lost are runs whose assignment can no longer take effect, or that the worker
	// surely does not run any more.
	lost []*runState
	// dropped are runs whose assignment was accepted and that the worker does not
	// list: it is asked to stop them before they count as lost.
	dropped []*runState
	// unwanted are runs that the worker lists and must not run.
	unwanted []api.RunRef
	// ended are the worker's reports of runs open on it, late those of others.
	ended []record.RunEnd
	late  []record.RunEnd
	// unreadable are reports that name no task; they are acknowledged.
	unreadable []api.RunRef
	// conflicting are reports that cannot be true by the record; they are
	// acknowledged, and nothing else follows.
	conflicting []api.RunRef
}

// listedRuns are the open runs that a heartbeat names.
type listedRuns map[*runState]bool

// reconcile compares a heartbeat, which is the newest of its worker, with the
// runs open there. It changes nothing. The rules are the table "Holds, tokens
// and the life of a run" in docs/DESIGN.md.
func reconcile(runs map[record.RunID]*runState, heartbeat api.Heartbeat) reconciliation {
	var result reconciliation
	listed := make(listedRuns, len(runs))
	for _, reference := range heartbeat.Running {
		result.addRunning(runs, listed, reference)
	}
	for _, report := range heartbeat.Ended {
		result.addEnded(runs, listed, report)
	}
	for _, run := range runs {
		if !listed[run] && !run.closing {
			result.addUnlisted(run, heartbeat)
		}
	}
	return result
}

// reconcileLate takes from a heartbeat that is not the newest of its worker
// what stays true: the ends of runs.
func reconcileLate(runs map[record.RunID]*runState, heartbeat api.Heartbeat) reconciliation {
	var result reconciliation
	listed := make(listedRuns, len(heartbeat.Ended))
	for _, report := range heartbeat.Ended {
		result.addEnded(runs, listed, report)
	}
	return result
}

func (r *reconciliation) addRunning(runs map[record.RunID]*runState, listed listedRuns, reference api.RunRef) {
	id, ok := parseRun(reference)
	if !ok {
		r.unwanted = append(r.unwanted, reference)
		return
	}
	run, open := runs[id]
	if open {
		listed[run] = true
	}
	if !open || run.closing {
		r.unwanted = append(r.unwanted, reference)
		return
	}
	if !run.observed.listed {
		r.started = append(r.started, run)
		r.startedTasks = append(r.startedTasks, id.Task)
	}
}

func (r *reconciliation) addEnded(runs map[record.RunID]*runState, listed listedRuns, report api.EndedRun) {
	id, ok := parseRun(report.RunRef)
	if !ok {
		r.unreadable = append(r.unreadable, report.RunRef)
		return
	}
	end := record.RunEnd{Run: id, Outcome: report.Outcome, Message: report.Message, Checkpoint: report.Checkpoint}
	if hasStarted(report.Outcome) {
		r.startedTasks = append(r.startedTasks, id.Task)
	}
	run, open := runs[id]
	if !open {
		r.late = append(r.late, end)
		return
	}
	listed[run] = true
	if !run.observed.listed {
		r.started = append(r.started, run)
	}
	run.addCheckpoint(&end)
	r.ended = append(r.ended, end)
}

// addUnlisted decides on an open run that the worker lists neither as running
// nor as ended.
func (r *reconciliation) addUnlisted(run *runState, heartbeat api.Heartbeat) {
	switch {
	case run.assignment.seq == 0 && !run.isInherited():
		// Not assigned yet: nothing to conclude.
	case run.assignment.seq == 0 && !run.observed.listed:
		// Inherited. Any answer of an earlier leader went to an earlier seq,
		// which the worker accepts no more now that it has sent this one.
		r.lost = append(r.lost, run)
	case run.assignment.seq >= heartbeat.Seq:
		// The assignment went out with a later answer than this heartbeat.
	case !run.observed.listed && heartbeat.AcceptedSeq < run.assignment.seq:
		r.lost = append(r.lost, run)
	case run.assignment.droppedSeq != 0 && heartbeat.AcceptedSeq >= run.assignment.droppedSeq:
		// The worker accepted a stop for it and still does not list it.
		r.lost = append(r.lost, run)
	default:
		r.dropped = append(r.dropped, run)
	}
}

// parseRun reads a task's name and a run number.
func parseRun(reference api.RunRef) (record.RunID, bool) {
	task, ok := record.ParseTaskID(reference.Task)
	if !ok || reference.Run == 0 {
		return record.RunID{}, false
	}
	return record.RunID{Task: task, Number: reference.Run}, true
}

// runRef is the form of a run's name that workers see.
func runRef(id record.RunID) api.RunRef {
	return api.RunRef{Task: id.Task.String(), Run: id.Number}
}

// hasStarted reports whether a run that ended so has surely started: one that was stopped
// may have been refused at once.
func hasStarted(outcome api.Outcome) bool {
	return outcome == api.OutcomeSucceeded || outcome == api.OutcomeFailed
}

// applyDifferences takes over what the heartbeat showed.
func (a *assignments) applyDifferences(worker *workerEntry, differences *reconciliation) {
	now := a.now()
	for _, run := range differences.started {
		run.observed.listed = true
		run.observed.progress = workerhealth.NewProgress(now)
		if run.inGang {
			a.gangs.runStarted(run)
		}
	}
	for _, task := range differences.startedTasks {
		a.pendingStarts.remove(task.Job)
	}
	for _, end := range differences.ended {
		if run, open := worker.runs[end.Run]; open && run.observed.endedAt == 0 {
			run.observed.endedAt = now
		}
	}
	for _, run := range differences.lost {
		a.logger.Info("assignment had no effect", slog.String("task", run.id.Task.String()),
			slog.Uint64("run", uint64(run.id.Number)), slog.String("worker", worker.info.Name))
		a.ends.enqueueClose(run, "the order did not take effect")
	}
}
