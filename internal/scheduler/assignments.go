package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// maxRevocations limits how often runs of a task are revoked because their workers miss
// heartbeats. The count restarts when the task is assigned. The limit keeps a task from
// moving between workers for long where heartbeats are slow.
const maxRevocations = 3

// gangMembers lists the methods of gangs that assignments call.
type gangMembers interface {
	// mayAssign reports whether the worker may be sent the member's assignment now.
	mayAssign(run *runState) bool
	// runStarted records that a heartbeat showed that the member has started.
	runStarted(run *runState)
}

// waitingTasks looks up waiting tasks.
type waitingTasks interface {
	find(id record.TaskID) (*waitingTask, bool)
}

// assignments holds the record's open runs and their observed states. It assigns each run
// to its worker once, and reconciles the runs that workers list with the open runs.
type assignments struct {
	*environment
	runs map[record.RunID]*runState
	// openByTask maps a task to its open run.
	openByTask map[record.TaskID]*runState
	// pendingStarts holds the jobs of which no task is known to have started.
	pendingStarts pendingStarts
	// revocations counts, by task, the runs revoked because their worker missed
	// heartbeats. A task's entry is removed when the task is assigned.
	revocations map[record.TaskID]int
	ends        runEnder
	gangs       gangMembers
	pending     waitingTasks
}

func newAssignments(environment *environment, ends runEnder, gangs gangMembers, pending waitingTasks) assignments {
	return assignments{
		environment:   environment,
		runs:          make(map[record.RunID]*runState),
		openByTask:    make(map[record.TaskID]*runState),
		pendingStarts: newPendingStarts(),
		revocations:   make(map[record.TaskID]int),
		ends:          ends,
		gangs:         gangs,
		pending:       pending,
	}
}

// add adds an opened run.
func (a *assignments) add(run *runState) {
	a.runs[run.id] = run
	a.openByTask[run.id.Task] = run
}

// remove removes a closed run and returns it, or nil if the run is unknown.
func (a *assignments) remove(id record.RunID) *runState {
	run, known := a.runs[id]
	if !known {
		return nil
	}
	delete(a.runs, id)
	delete(a.openByTask, id.Task)
	delete(run.worker.runs, id)
	return run
}

// forgetSteps removes the revocation counts of the tasks of ended steps.
func (a *assignments) forgetSteps(steps []*record.Step) {
	for _, step := range steps {
		for _, task := range step.Tasks {
			delete(a.revocations, task.ID)
		}
	}
}

// start returns the assignments of the worker's runs that this leader placed and has not
// assigned yet, and marks these runs as assigned. It skips runs that are being closed or
// stopped, and members of a gang with a common outcome while the gang may not be assigned.
func (a *assignments) start(worker *workerEntry) []api.StartOrder {
	orders := []api.StartOrder{}
	for _, run := range worker.runs {
		if run.assignment.seq != 0 || run.isInherited() || run.closing || run.stop != record.StopNone {
			continue
		}
		if run.sharesOutcome && !a.gangs.mayAssign(run) {
			continue
		}
		run.assignment.seq = worker.seq
		run.assignment.at = a.now()
		delete(a.revocations, run.id.Task)
		orders = append(orders, run.startOrder())
	}
	return orders
}

// revokeUnassigned closes the worker's runs that were never assigned.
func (a *assignments) revokeUnassigned(worker *workerEntry) {
	for _, run := range worker.runs {
		a.ends.closeIfNeverAssigned(run)
	}
}

// revokeUnassignedOutsideGangs closes the worker's runs that were never assigned, belong to
// no gang, and whose tasks were revoked fewer than maxRevocations times. It returns the
// number of runs closed.
func (a *assignments) revokeUnassignedOutsideGangs(worker *workerEntry) int {
	revoked := 0
	for _, run := range worker.runs {
		if run.neverAssigned() && !run.inGang && !run.closing && a.revocations[run.id.Task] < maxRevocations {
			a.revocations[run.id.Task]++
			a.ends.closeIfNeverAssigned(run)
			a.metrics.runsRevoked.Inc()
			revoked++
		}
	}
	return revoked
}

// startOrder returns the run's assignment. A task without a payload gets the job's.
func (r *runState) startOrder() api.StartOrder {
	order := api.StartOrder{RunRef: runRef(r.id), Spec: *r.spec}
	order.Spec.Payload = r.payload
	order.Checkpoint = r.checkpoint
	return order
}

// stopRequests returns the runs that the worker must stop: runs that it lists without being
// allowed to run them, runs whose assignment it accepted but which it does not list, and
// runs that it has listed and that are to be stopped. The requests are repeated in every
// answer while this holds.
func (a *assignments) stopRequests(worker *workerEntry, differences reconciliation) []api.RunRef {
	stops := append([]api.RunRef{}, differences.unwanted...)
	for _, run := range differences.dropped {
		if run.assignment.droppedSeq == 0 {
			run.assignment.droppedSeq = worker.seq
		}
		stops = append(stops, runRef(run.id))
	}
	for _, run := range worker.runs {
		if run.stop != record.StopNone && run.observed.listed {
			stops = append(stops, runRef(run.id))
		}
	}
	return stops
}
