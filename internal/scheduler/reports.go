package scheduler

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// reports holds the run ends of one heartbeat that are committed now, and the runs that
// are revoked because of them. The rules are in docs/DESIGN.md, "What an acknowledgement
// means".
type reports struct {
	// unreadable holds reports that name no run or contradict the record; they are
	// acknowledged and not committed.
	unreadable []api.RunRef
	// revoked holds unassigned runs of tasks of which an earlier run has succeeded.
	revoked []record.RunEnd
	// ends belong to runs open on the worker, lateEnds to all other runs.
	ends, lateEnds []record.RunEnd
}

// endsInOrder returns all run ends in the order in which the record must apply them: a
// late success counts only if no run of its task is open.
func (r *reports) endsInOrder() []record.RunEnd {
	var all []record.RunEnd
	all = append(all, r.revoked...)
	all = append(all, r.ends...)
	return append(all, r.lateEnds...)
}

// commitReports commits the reported run ends and returns the reports that may be
// acknowledged.
func (l *leader) commitReports(observed *heartbeatObservation) ([]api.RunRef, error) {
	reported := &observed.reports
	closes := reported.endsInOrder()
	if len(closes) == 0 {
		return reported.unreadable, nil
	}
	if _, err := l.proposeOwn(record.Command{CloseRuns: &record.CloseRuns{Runs: closes}}); err != nil {
		return nil, l.proposalError(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.assignments.acknowledge(reported), nil
}

// observeRefusedEnds queues the run ends of a heartbeat that is refused because the leader
// does not hold its lease, since the worker may be gone before it can report them again.
// It draws no other conclusion. This needs no lease: the proposal takes effect only if
// this replica still leads; otherwise the worker reports the ends to the next leader.
func (l *leader) observeRefusedEnds(request protocol.HeartbeatRequest) {
	l.enqueueEnds(l.observeEnds(request))
}

// observeEnds classifies the run ends of a heartbeat without recording the heartbeat.
func (l *leader) observeEnds(request protocol.HeartbeatRequest) reports {
	l.mu.Lock()
	defer l.mu.Unlock()
	worker, known := l.registry.byID[request.Heartbeat.WorkerID]
	if !known {
		worker = newWorkerEntry(workerInfo(request, 0), l.now())
	}
	differences := reconcileLate(worker.runs, request.Heartbeat)
	l.assignments.quarantineConflicts(worker, &differences)
	l.assignments.applyDifferences(worker, &differences)
	return l.assignments.classifyReports(&differences)
}

// enqueueEnds queues reported run ends that were not committed.
func (l *leader) enqueueEnds(reported reports) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposer.enqueueEnds(reported.endsInOrder())
}

// classifyReports decides which reports are committed now. A late success is not while a
// newer run of its task is open, unless that run ends with the same heartbeat or was never
// assigned: then the newer run is revoked. A run of a gang is not revoked, since that would
// requeue the gang.
func (a *assignments) classifyReports(differences *reconciliation) reports {
	sorted := reports{unreadable: slices.Concat(differences.unreadable, differences.conflicting), ends: differences.ends}
	ending := make(map[record.RunID]bool, len(differences.ends))
	for _, end := range differences.ends {
		ending[end.Run] = true
	}
	var late lateSuccesses
	for _, end := range differences.lateEnds {
		newer, open := a.openByTask[end.Run.Task]
		switch {
		case !a.mayCountSuccess(end):
			sorted.lateEnds = append(sorted.lateEnds, end)
		case !open || ending[newer.id]:
			late.observe(end, newer, lateSuccessCounted, a.metrics)
			sorted.lateEnds = append(sorted.lateEnds, end)
		case newer.neverAssigned() && !newer.closing && !newer.inGang:
			newer.closing = true
			late.observe(end, newer, lateSuccessCounted, a.metrics)
			sorted.revoked = append(sorted.revoked, record.RunEnd{
				Run: newer.id, Outcome: api.OutcomeLost, Message: "an earlier run of the task has succeeded",
			})
			sorted.lateEnds = append(sorted.lateEnds, end)
		default:
			late.observe(end, newer, lateSuccessWithheld, a.metrics)
		}
	}
	late.log(a.logger)
	return sorted
}

// mayCountSuccess reports whether a report is a success of a task that is running or
// waiting. A task that runs until cancelled cannot succeed.
func (a *assignments) mayCountSuccess(end record.RunEnd) bool {
	if end.Outcome != api.OutcomeSucceeded {
		return false
	}
	if run, open := a.openByTask[end.Run.Task]; open {
		return !run.spec.UntilCancelled
	}
	entry, waits := a.pending.find(end.Run.Task)
	return waits && !entry.task.Spec.UntilCancelled
}

// acknowledge returns the reports that the worker need not repeat. A success is not
// acknowledged while its task is not final: the record has not applied it, since the run had
// been closed before, maybe while the end was being committed.
func (a *assignments) acknowledge(reported *reports) []api.RunRef {
	acknowledged := reported.unreadable
	for _, end := range slices.Concat(reported.ends, reported.lateEnds) {
		if !a.mayCountSuccess(end) {
			acknowledged = append(acknowledged, runRef(end.Run))
		}
	}
	return acknowledged
}
