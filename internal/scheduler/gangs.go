package scheduler

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// gangState follows a step whose tasks must start together.
type gangState struct {
	key record.StepID
	// size is the number of members that must be placed together, 0 if one may
	// be placed alone: the record's rule (record.Step.GroupSize).
	size int
	// ready are the members that wait; open the open runs, with true for
	// those that were seen started.
	ready map[record.TaskID]bool
	open  map[record.RunID]bool
	// broken is true from the loss of a member before all had started until
	// no member has an open run: none may be placed meanwhile.
	broken bool
	// sharesOutcome is set for a group that is one for its whole life. startBy is when
	// all its members must have started, and released is true once their orders
	// are given out.
	sharesOutcome       bool
	startBy             time.Duration
	assignmentsReleased bool
}

func (g *gangState) allStarted() bool {
	for _, started := range g.open {
		if !started {
			return false
		}
	}
	return true
}

func (l *leader) gang(key record.StepID) *gangState {
	gang, known := l.gangs[key]
	if !known {
		gang = &gangState{key: key, ready: make(map[record.TaskID]bool), open: make(map[record.RunID]bool)}
		l.gangs[key] = gang
	}
	return gang
}

func (l *leader) joinGang(entry *waitingTask, step *record.Step) {
	gang := l.gang(entry.step)
	gang.ready[entry.task.ID] = true
	gang.size = step.GangSize()
}

func (l *leader) leaveGang(gang *gangState, task *record.Task) {
	delete(gang.ready, task.ID)
	gang.size = task.Step.GangSize()
	l.offerGang(gang)
}

// offerGang lets the planner place the members that wait: all together, or
// each alone once the group has started whole.
func (l *leader) offerGang(gang *gangState) {
	if gang.broken || !l.gangDue(gang) {
		l.withholdGang(gang)
		return
	}
	for id := range gang.ready {
		entry := l.waiting[id]
		if entry.placing {
			continue
		}
		task := entry.task
		if gang.size > 0 {
			task.Gang = gang.key.String()
			task.GangSize = gang.size
		}
		l.planner.Remove(id)
		l.planner.Add(task)
	}
}

// gangDue tells whether the members that wait may be offered now.
func (l *leader) gangDue(gang *gangState) bool {
	if gang.size > 0 && len(gang.ready) != gang.size {
		return false
	}
	for id := range gang.ready {
		if !l.waiting[id].due {
			return false
		}
	}
	return true
}

func (l *leader) withholdGang(gang *gangState) {
	for id := range gang.ready {
		l.planner.Remove(id)
	}
}

func (l *leader) gangRunOpened(run *runState, open *record.Run) {
	gang := l.gang(run.step)
	delete(gang.ready, run.id.Task)
	gang.open[run.id] = false
	gang.size = open.Task.Step.GangSize()
	if run.sharesOutcome {
		l.commonOutcomeRunOpened(gang, run, open)
	}
}

func (l *leader) gangRunStopping(run *runState, step *record.Step) {
	gang := l.gang(run.step)
	gang.size = step.GangSize()
	l.offerGang(gang)
}

func (l *leader) gangRunStarted(run *runState) {
	if gang, known := l.gangs[run.step]; known {
		gang.open[run.id] = true
		l.stopWatchingIfStarted(gang)
	}
}

// gangRunClosed breaks the group if a member was lost before all had started.
func (l *leader) gangRunClosed(run *runState, outcome api.Outcome, step *record.Step) {
	gang := l.gang(run.step)
	whole := gang.allStarted()
	delete(gang.open, run.id)
	gang.size = step.GangSize()
	lost := outcome == api.OutcomeLost || outcome == api.OutcomeStopped
	if lost && !whole && len(gang.open) > 0 && !run.sharesOutcome {
		l.breakGang(gang)
	}
	if len(gang.open) == 0 {
		gang.broken = false
	}
	if run.sharesOutcome {
		// The record has marked the other members to stop.
		delete(l.startingGangs, run.step)
	}
	l.offerGang(gang)
}

// breakGang stops the other members, so that the group waits whole.
func (l *leader) breakGang(gang *gangState) {
	if gang.broken {
		return
	}
	gang.broken = true
	for id := range gang.open {
		run := l.runs[id]
		l.proposer.closeIfNeverAssigned(run)
		l.proposer.enqueueStop(run, record.StopGang)
	}
}

// loadGang takes over a group at the start of a term. It cannot be known
// whether all had started; members that wait without ever having failed show
// that a run was lost, and then the group is taken as not whole.
func (l *leader) loadGang(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	gang := l.gang(step.Tasks[0].ID.StepID())
	gang.size = step.GangSize()
	if step.Spec.Lockstep {
		// The record alone says whether it is broken.
		l.offerGang(gang)
		return
	}
	broken := slices.ContainsFunc(step.Tasks, func(task *record.Task) bool {
		return task.Run != nil && task.Run.Stop == record.StopGang
	})
	lost := slices.ContainsFunc(step.Tasks, func(task *record.Task) bool {
		return task.State == record.TaskReady && task.LastRun > 0 && task.Failures == 0
	})
	if (broken || lost) && len(gang.open) > 0 {
		l.breakGang(gang)
	}
	l.offerGang(gang)
}
