package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// waitingTask is a task that is ready in the record and waits for placement.
type waitingTask struct {
	task placement.Task
	step record.StepID
	// jobPriority is the job's priority without that of its queue.
	jobPriority int
	urgency     urgency
	// nextRun is the number of the run to place.
	nextRun uint32
	// notBefore is the earliest start in cluster time; 0 if there is none.
	notBefore record.Millis
	// due is true once notBefore has passed.
	due bool
	// placing is true while a placement of the task is being committed.
	placing bool
	// localityWaitEnds is the cluster time until which the task waits for a preferred
	// worker; 0 until the task is first offered.
	localityWaitEnds record.Millis
	// inBacklog is true while the task is counted in its queue's backlog, from which the
	// wait of new jobs is estimated.
	inBacklog bool
}

// backlogObserver tracks how many tasks of each queue wait, and how fast they start.
type backlogObserver interface {
	// CountWaiting changes the number of waiting tasks of a queue by change.
	CountWaiting(queue string, change int)
	// CountStarted records that a task of a queue was placed on a worker.
	CountStarted(queue string)
}

// pendingWork holds the record's ready tasks until they are placed, with the order in which
// the planner takes them and the times at which that order changes.
type pendingWork struct {
	*environment
	waiting map[record.TaskID]*waitingTask
	// preemptOnOpen holds the tasks that were preempted while their placement was being
	// committed. Their runs are stopped once they are open.
	preemptOnOpen map[record.TaskID]bool
	// timers holds the times at which waiting tasks become due.
	timers taskTimers
	// ranks holds the times at which the ranks or the locality waits of waiting tasks end.
	ranks taskTimers
	// criticalPaths caches the critical paths of live jobs, by job id.
	criticalPaths map[string]objective.CriticalPaths
	planner       taskQueue
	backlog       backlogObserver
}

func newPendingWork(term *term, backlog backlogObserver) pendingWork {
	return pendingWork{
		environment:   term.environment,
		waiting:       make(map[record.TaskID]*waitingTask),
		preemptOnOpen: make(map[record.TaskID]bool),
		criticalPaths: make(map[string]objective.CriticalPaths),
		planner:       term.planner,
		backlog:       backlog,
	}
}

// find returns a waiting task, and false if the task does not wait.
func (p *pendingWork) find(id record.TaskID) (*waitingTask, bool) {
	entry, waits := p.waiting[id]
	return entry, waits
}

// newTask returns an entry for a task that became ready. The caller adds it with add.
func (p *pendingWork) newTask(task *record.Task, config *api.Config) *waitingTask {
	job := task.Step.Job
	entry := &waitingTask{
		task: placement.Task{
			ID:          task.ID,
			Queue:       job.Spec.Queue,
			Priority:    job.Spec.Priority + queuePriority(config, job.Spec.Queue),
			Spec:        task.Spec,
			Preemptions: task.Preemptions,

			UntilCancelled: task.RunsUntilCancelled(),

			Preferences: &placement.Preferences{StepSize: len(task.Step.Tasks), Colocate: task.Step.Spec.Colocate},
		},
		step:        task.ID.StepID(),
		jobPriority: job.Spec.Priority,
		urgency:     p.urgencyOf(task),
		nextRun:     task.NextRun(),
		notBefore:   task.NotBefore,
		due:         task.NotBefore == 0,
	}
	entry.urgency.setObjective(p.objectiveOf(config, job.Spec.Queue))
	return entry
}

// add adds a waiting task. A task that is not due gets a timer; add offers nothing to the
// planner.
func (p *pendingWork) add(entry *waitingTask) {
	id := entry.task.ID
	p.updateRank(entry, p.clusterNow())
	p.waiting[id] = entry
	p.updateBacklog(entry)
	if !entry.due {
		p.timers.add(entry.notBefore, id)
	}
}

// offer adds a task, which must be due and in no gang, to the planner's queue.
func (p *pendingWork) offer(entry *waitingTask) {
	if entry.placing {
		return
	}
	p.startLocalityWait(entry)
	p.planner.Add(entry.task)
}

// becomeDue handles an expired timer of a task. It returns the task if it becomes due by
// that, else nil.
func (p *pendingWork) becomeDue(id record.TaskID, now record.Millis) *waitingTask {
	entry, waits := p.waiting[id]
	if !waits || entry.due || entry.notBefore > now {
		return nil
	}
	entry.due = true
	p.updateBacklog(entry)
	return entry
}

// remove removes a task that is no longer ready and returns it, or nil if it did not wait.
func (p *pendingWork) remove(id record.TaskID) *waitingTask {
	entry, waits := p.waiting[id]
	if !waits {
		return nil
	}
	p.removeFromBacklog(entry)
	delete(p.waiting, id)
	delete(p.preemptOnOpen, id)
	return entry
}

// setPlaced removes a waiting task whose run was opened, and counts it in the start rate of its
// queue if the task was in the backlog.
func (p *pendingWork) setPlaced(id record.TaskID) {
	entry, waits := p.waiting[id]
	if !waits {
		return
	}
	if entry.inBacklog {
		p.backlog.CountStarted(entry.task.Queue)
	}
	p.removeFromBacklog(entry)
	delete(p.waiting, id)
}

// setRejected records that the record rejected a placement of a task, and returns the task,
// which must be offered again. It returns nil for a task that no longer waits: the command
// was committed twice and the first one placed the task, or the task is final.
func (p *pendingWork) setRejected(id record.TaskID) *waitingTask {
	entry, waits := p.waiting[id]
	if !waits || !entry.placing {
		return nil
	}
	entry.placing = false
	delete(p.preemptOnOpen, id)
	return entry
}

// takePreempted reports whether the task was preempted while its placement was being
// committed, and clears that mark. The caller then stops the run, which is now open.
func (p *pendingWork) takePreempted(id record.TaskID) bool {
	if !p.preemptOnOpen[id] {
		return false
	}
	delete(p.preemptOnOpen, id)
	return true
}

// updateBacklog counts a waiting task in its queue's backlog if it is due and not lost. A lost
// task, whose job can no longer end within three times its objective, ranks after new tasks.
func (p *pendingWork) updateBacklog(entry *waitingTask) {
	p.setInBacklog(entry, entry.due && !entry.urgency.lost)
}

// removeFromBacklog stops counting a task in its queue's backlog.
func (p *pendingWork) removeFromBacklog(entry *waitingTask) { p.setInBacklog(entry, false) }

func (p *pendingWork) setInBacklog(entry *waitingTask, counted bool) {
	if counted == entry.inBacklog {
		return
	}
	entry.inBacklog = counted
	change := 1
	if !counted {
		change = -1
	}
	p.backlog.CountWaiting(entry.task.Queue, change)
}
