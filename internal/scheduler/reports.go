package scheduler

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// reports is what a heartbeat says of ended runs, and what follows from it.
// The rules are in docs/DESIGN.md, "What an acknowledgement means".
type reports struct {
	// unreadable name no task, or contradict the record; they are acknowledged.
	unreadable []api.RunRef
	// revoked are runs never assigned of tasks that turn out to be done.
	revoked []record.RunEnd
	// ended are of runs open on the worker, late of runs closed before.
	ended, late []record.RunEnd
}

// closes lists the runs in the order in which the record has to end them: a
// late success counts only once no run of its task is open.
func (r *reports) closes() []record.RunEnd {
	var all []record.RunEnd
	all = append(all, r.revoked...)
	all = append(all, r.ended...)
	return append(all, r.late...)
}

// commitReports puts the worker's reports into the record and returns what may
// be acknowledged.
func (l *leader) commitReports(observed *observation) ([]api.RunRef, error) {
	reported := &observed.reports
	closes := reported.closes()
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

// observeRefusedEnds takes the ends from a heartbeat that is refused for want of the lease,
// and draws no other conclusion: its worker may be gone before it can report them
// again. No lease is needed for it. What is proposed takes effect only if this
// leads still, and else the worker reports it to the next leader.
func (l *leader) observeRefusedEnds(request protocol.HeartbeatRequest) {
	l.enqueueEnds(l.observeEnds(request))
}

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

// enqueueEnds queues ends that could not be committed.
func (l *leader) enqueueEnds(reported reports) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposer.enqueueEnds(reported.closes())
}

// classifyReports decides which reports go to the record now. A late success whose
// task is run again is not, unless that run was never assigned: then it is revoked. One
// of a gang is not revoked, since that would requeue the whole gang.
func (a *assignments) classifyReports(differences *reconciliation) reports {
	sorted := reports{unreadable: slices.Concat(differences.unreadable, differences.conflicting), ended: differences.ended}
	ending := make(map[record.RunID]bool, len(differences.ended))
	for _, end := range differences.ended {
		ending[end.Run] = true
	}
	for _, end := range differences.late {
		newer, open := a.openByTask[end.Run.Task]
		switch {
		case !a.mayCountSuccess(end) || !open || ending[newer.id]:
			sorted.late = append(sorted.late, end)
		case newer.neverAssigned() && !newer.closing && !newer.inGang:
			newer.closing = true
			sorted.revoked = append(sorted.revoked, record.RunEnd{
				Run: newer.id, Outcome: api.OutcomeLost, Message: "an earlier run of the task has succeeded",
			})
			sorted.late = append(sorted.late, end)
		}
	}
	return sorted
}

// mayCountSuccess reports whether a late report is a success of a task that is not
// final. A task that runs until cancelled has no success.
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

// acknowledge lists the reports that the worker need not repeat. A success of
// a task that is not final was not taken, and is not acknowledged.
func (a *assignments) acknowledge(reported *reports) []api.RunRef {
	acknowledged := reported.unreadable
	for _, end := range reported.ended {
		acknowledged = append(acknowledged, runRef(end.Run))
	}
	for _, end := range reported.late {
		if !a.mayCountSuccess(end) {
			acknowledged = append(acknowledged, runRef(end.Run))
		}
	}
	return acknowledged
}
