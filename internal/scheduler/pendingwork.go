package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// waitingTask is a ready task of the record.
type waitingTask struct {
	task placement.Task
	step record.StepID
	// jobPriority is the job's own, without the queue's.
	jobPriority int
	urgency     urgency
	// nextRun is the number of the run to place.
	nextRun uint32
	// notBefore is the earliest start on the cluster clock.
	notBefore record.Millis
	// due is true once that time has come.
	due bool
	// placing is true while a placement of the task is being committed.
	placing bool
	// localityWaitEnds is until when the task waits for a worker that it prefers; 0 before
	// it was offered first.
	localityWaitEnds record.Millis
	// counted is true while the task counts for how long newcomers will wait.
	counted bool
}

// backlogObserver follows how many tasks of each queue wait, and how fast they start.
type backlogObserver interface {
	// CountWaiting records that some tasks more, or fewer, of a queue wait.
	CountWaiting(queue string, change int)
	// CountStarted records that a task of a queue was given a worker.
	CountStarted(queue string)
}

// pendingWork holds the ready tasks of the record until they are placed, the order
// in which the planner takes them, and the times at which that changes.
type pendingWork struct {
	*environment
	waiting map[record.TaskID]*waitingTask
	// preemptOnOpen are tasks to be stopped once their placement is applied.
	preemptOnOpen map[record.TaskID]bool
	// timers are the times at which waiting tasks fall due.
	timers taskTimers
	// ranks are the times at which waiting tasks change their place in the order.
	ranks taskTimers
	// chains are the estimates of live jobs.
	chains  map[string]objective.CriticalPaths
	planner taskQueue
	backlog backlogObserver
}

func newPendingWork(term *term, backlog backlogObserver) pendingWork {
	return pendingWork{
		environment:   term.environment,
		waiting:       make(map[record.TaskID]*waitingTask),
		preemptOnOpen: make(map[record.TaskID]bool),
		chains:        make(map[string]objective.CriticalPaths),
		planner:       term.planner,
		backlog:       backlog,
	}
}

// find finds a task that waits.
func (p *pendingWork) find(id record.TaskID) (*waitingTask, bool) {
	entry, waits := p.waiting[id]
	return entry, waits
}

// newTask describes a task that became ready. It does not wait until it is added.
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
	entry.urgency.apply(p.objectiveOf(config, job.Spec.Queue))
	return entry
}

// add has a task wait; it is offered only once it is due.
func (p *pendingWork) add(entry *waitingTask) {
	id := entry.task.ID
	p.updateRank(entry, p.clusterNow())
	p.waiting[id] = entry
	p.countWaiting(entry)
	if !entry.due {
		p.timers.add(entry.notBefore, id)
	}
}

// offer lets the planner place a task that is due and in no gang.
func (p *pendingWork) offer(entry *waitingTask) {
	if entry.placing {
		return
	}
	p.startLocalityWait(entry)
	p.planner.Add(entry.task)
}

// becomeDue records that a timer of a task has come. It returns the task if it is due
// by that, else nil.
func (p *pendingWork) becomeDue(id record.TaskID, now record.Millis) *waitingTask {
	entry, waits := p.waiting[id]
	if !waits || entry.due || entry.notBefore > now {
		return nil
	}
	entry.due = true
	p.countWaiting(entry)
	return entry
}

// remove takes out a task that is not ready any more, and returns it; nil if it did
// not wait.
func (p *pendingWork) remove(id record.TaskID) *waitingTask {
	entry, waits := p.waiting[id]
	if !waits {
		return nil
	}
	p.uncountWaiting(entry)
	delete(p.waiting, id)
	delete(p.preemptOnOpen, id)
	return entry
}

// placed takes out a waiting task that was given a worker, and counts it into its
// queue's rate.
func (p *pendingWork) placed(id record.TaskID) {
	entry, waits := p.waiting[id]
	if !waits {
		return
	}
	if entry.counted {
		p.backlog.CountStarted(entry.task.Queue)
	}
	p.uncountWaiting(entry)
	delete(p.waiting, id)
}

// rejected records that a placement of a task was not applied, and returns the task,
// which is to be offered again. It returns nil for one that waits no more: that was
// placed by a doubled command, or is final.
func (p *pendingWork) rejected(id record.TaskID) *waitingTask {
	entry, waits := p.waiting[id]
	if !waits || !entry.placing {
		return nil
	}
	entry.placing = false
	delete(p.preemptOnOpen, id)
	return entry
}

// takePreempted reports whether a run of the task is to be stopped now that its
// placement was applied.
func (p *pendingWork) takePreempted(id record.TaskID) bool {
	if !p.preemptOnOpen[id] {
		return false
	}
	delete(p.preemptOnOpen, id)
	return true
}

// countWaiting counts a waiting task that is due and can still end within three
// times its objective: others go after whatever comes new.
func (p *pendingWork) countWaiting(entry *waitingTask) {
	p.setCounted(entry, entry.due && !entry.urgency.lost)
}

// uncountWaiting counts a task no longer that waits no longer.
func (p *pendingWork) uncountWaiting(entry *waitingTask) { p.setCounted(entry, false) }

func (p *pendingWork) setCounted(entry *waitingTask, counted bool) {
	if counted == entry.counted {
		return
	}
	entry.counted = counted
	change := 1
	if !counted {
		change = -1
	}
	p.backlog.CountWaiting(entry.task.Queue, change)
}
