package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// maxRevocations is how often a task is revoked from workers that miss heartbeats until
// an assignment names it, so that work does not go round for long where heartbeats are
// slow.
const maxRevocations = 3

// gangMembers is what assignments ask of the gangs.
type gangMembers interface {
	// mayAssign reports whether the assignment of a member may be given now.
	mayAssign(run *runState) bool
	// runStarted records that a member was seen started.
	runStarted(run *runState)
}

// waitingTasks finds the tasks that wait.
type waitingTasks interface {
	find(id record.TaskID) (*waitingTask, bool)
}

// assignments holds the open runs of the record, with what was observed of them. It
// gives each to its worker once, and compares with it what the worker lists.
type assignments struct {
	*environment
	runs map[record.RunID]*runState
	// openByTask finds the open run of a task.
	openByTask map[record.TaskID]*runState
	// pendingStarts are the jobs of which nothing was seen to have started.
	pendingStarts pendingStarts
	// revocations counts how often tasks that no assignment has named since were
	// revoked since their worker missed heartbeats.
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

// add adds a run that was opened.
func (a *assignments) add(run *runState) {
	a.runs[run.id] = run
	a.openByTask[run.id.Task] = run
}

// remove takes out a run that was closed; nil if it was not known.
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

// forgetSteps drops what is known of the tasks of steps that have ended.
func (a *assignments) forgetSteps(steps []*record.Step) {
	for _, step := range steps {
		for _, task := range step.Tasks {
			delete(a.revocations, task.ID)
		}
	}
}

// start gives each run placed on the worker its one assignment.
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

// revokeUnassigned closes the runs of a worker whose assignments were not given yet.
func (a *assignments) revokeUnassigned(worker *workerEntry) {
	for _, run := range worker.runs {
		a.ends.closeIfNeverAssigned(run)
	}
}

// revokeUnassignedOutsideGangs closes the runs of a worker that were never assigned,
// belong to no gang, and whose tasks were not revoked too often. It returns their number.
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

// startOrder is the run's start order, with the job's payload filled in for a task
// that has none.
func (r *runState) startOrder() api.StartOrder {
	order := api.StartOrder{RunRef: runRef(r.id), Spec: *r.spec}
	order.Spec.Payload = r.payload
	order.Checkpoint = r.checkpoint
	return order
}

// stopRequests names what the worker must stop. It is repeated in each answer
// until the worker lists the run no more.
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
