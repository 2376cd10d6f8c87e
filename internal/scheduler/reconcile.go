package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// reconciliation holds the differences between the runs that the record has open on a
// worker and the runs that one heartbeat of the worker lists.
type reconciliation struct {
	// started holds the open runs that the worker lists for the first time.
	started []*runState
	// startedTasks holds the tasks of which a run has certainly started, whether it is
	// listed for the first time or reported again.
	startedTasks []record.TaskID
	// lost holds the runs whose assignment can no longer take effect, or that the worker
	// certainly no longer runs.
	lost []lostRun
	// dropped holds the runs whose assignment the worker accepted or may have accepted, or
	// that it listed before, and that it does not list now: it is asked to stop them before
	// they count as lost.
	dropped []*runState
	// relisted holds the runs that were dropped in an earlier heartbeat and are running in
	// this one.
	relisted []*runState
	// unwanted holds the runs that the worker lists as running and must stop.
	unwanted []api.RunRef
	// ends holds the reported ends of runs open on the worker, lateEnds those of other
	// runs.
	ends     []record.RunEnd
	lateEnds []record.RunEnd
	// unreadable holds reports whose run reference is malformed; they are acknowledged.
	unreadable []api.RunRef
	// conflicting holds reported ends that contradict the record; they are acknowledged
	// and not committed.
	conflicting []api.RunRef
	// token is that of the leader that compares.
	token uint64
	// listedRunning and listedEnded are the lengths of the heartbeat's lists.
	listedRunning, listedEnded int
}

// listedRuns is the set of open runs that a heartbeat lists as running or ended.
type listedRuns map[*runState]bool

// reconcile compares the newest heartbeat of a worker with runs, which are open on that
// worker. token is that of this leader. It modifies no run. The rules are the table in
// "Leases, tokens and runs" of docs/DESIGN.md. That a run is not listed is evidence only if
// both lists are complete.
func reconcile(runs map[record.RunID]*runState, heartbeat api.Heartbeat, token uint64) reconciliation {
	result := reconciliation{token: token, listedRunning: len(heartbeat.Running), listedEnded: len(heartbeat.Ended)}
	listed := make(listedRuns, len(runs))
	for _, reference := range heartbeat.Running {
		result.addRunning(runs, listed, reference)
	}
	for _, report := range heartbeat.Ended {
		result.addEnded(runs, listed, report)
	}
	if heartbeat.EndedIncomplete {
		return result
	}
	for _, run := range runs {
		if !listed[run] && !run.closing {
			result.addUnlisted(run, heartbeat)
		}
	}
	return result
}

// reconcileLate compares a heartbeat that is not the newest of its worker, or is refused.
// It uses only what remains true: the ends of runs.
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
	if run.assignment.droppedSeq != 0 {
		r.relisted = append(r.relisted, run)
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
		r.lateEnds = append(r.lateEnds, end)
		return
	}
	listed[run] = true
	if !run.observed.listed {
		r.started = append(r.started, run)
	}
	run.addCheckpoint(&end)
	r.ends = append(r.ends, end)
}

// addUnlisted classifies an open run that the worker lists neither as running nor as
// ended. Only what the worker has accepted since proves that the run will not be listed
// later: the heartbeat may have been sent before the one whose answer carried the assignment.
func (r *reconciliation) addUnlisted(run *runState, heartbeat api.Heartbeat) {
	assigned := run.assignment.seq != 0
	switch {
	case !assigned && !run.isInherited():
		// The run is not assigned yet, so the worker cannot list it.
	case run.assignment.seq >= heartbeat.Seq:
		// The assignment was sent in the answer to this heartbeat or to a later one.
	case run.assignment.droppedSeq != 0 && r.stopAccepted(run, heartbeat):
		// The worker accepted a request to stop the run and still does not list it.
		r.lost = append(r.lost, lostRun{run, run.droppedReason()})
	case assigned && !run.observed.listed && heartbeat.AcceptedSeq < run.assignment.seq:
		// This leader sent the assignment in an answer that the worker did not accept before
		// it sent a later heartbeat.
		r.lost = append(r.lost, lostRun{run, lossNotAccepted})
	default:
		r.dropped = append(r.dropped, run)
	}
}

// stopAccepted reports whether the worker had accepted, before it sent the heartbeat, an
// answer of this leader that asked it to stop the run. Its number alone does not tell: a late
// heartbeat may follow an answer of an earlier leader to a later one. Workers and agents of
// earlier versions report no token.
func (r *reconciliation) stopAccepted(run *runState, heartbeat api.Heartbeat) bool {
	ofThisLeader := heartbeat.AcceptedToken == r.token || heartbeat.AcceptedToken == 0
	return ofThisLeader && heartbeat.AcceptedSeq >= run.assignment.droppedSeq
}

// parseRun parses a run reference; false if the task's name is malformed or the run number
// is 0.
func parseRun(reference api.RunRef) (record.RunID, bool) {
	task, ok := record.ParseTaskID(reference.Task)
	if !ok || reference.Run == 0 {
		return record.RunID{}, false
	}
	return record.RunID{Task: task, Number: reference.Run}, true
}

// runRef returns the reference by which workers know a run.
func runRef(id record.RunID) api.RunRef {
	return api.RunRef{Task: id.Task.String(), Run: id.Number}
}

// hasStarted reports whether a run with this outcome has certainly started. A stopped run
// may have been rejected by the worker before its start.
func hasStarted(outcome api.Outcome) bool {
	return outcome == api.OutcomeSucceeded || outcome == api.OutcomeFailed
}

// applyDifferences updates the runs from the differences, and queues the closing of lost
// runs.
func (a *assignments) applyDifferences(worker *workerEntry, differences *reconciliation) {
	now := a.now()
	for _, run := range differences.started {
		run.observed.listed = true
		run.observed.progress = workerhealth.NewProgress(now)
		if run.inGang {
			a.gangs.runStarted(run)
		}
	}
	for _, run := range differences.relisted {
		run.assignment.droppedSeq = 0
	}
	for _, task := range differences.startedTasks {
		a.pendingStarts.remove(task.Job)
	}
	for _, end := range differences.ends {
		if run, open := worker.runs[end.Run]; open && run.observed.endedAt == 0 {
			run.observed.endedAt = now
		}
	}
	a.closeLost(worker, differences)
}
