package scheduler

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// groupState follows a step whose tasks must start together.
type groupState struct {
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
	// lockstep is set for a group that is one for its whole life. startBy is when
	// all its members must have started, and released is true once their orders
	// are given out.
	lockstep bool
	startBy  time.Duration
	released bool
}

func (g *groupState) allStarted() bool {
	for _, started := range g.open {
		if !started {
			return false
		}
	}
	return true
}

func (l *leader) group(key record.StepID) *groupState {
	group, known := l.groups[key]
	if !known {
		group = &groupState{key: key, ready: make(map[record.TaskID]bool), open: make(map[record.RunID]bool)}
		l.groups[key] = group
	}
	return group
}

func (l *leader) joinGroup(entry *waitingTask, step *record.Step) {
	group := l.group(entry.step)
	group.ready[entry.task.ID] = true
	group.size = step.GangSize()
}

func (l *leader) leaveGroup(group *groupState, task *record.Task) {
	delete(group.ready, task.ID)
	group.size = task.Step.GangSize()
	l.offerGroup(group)
}

// offerGroup lets the planner place the members that wait: all together, or
// each alone once the group has started whole.
func (l *leader) offerGroup(group *groupState) {
	if group.broken || !l.groupDue(group) {
		l.withholdGroup(group)
		return
	}
	for id := range group.ready {
		entry := l.waiting[id]
		if entry.placing {
			continue
		}
		task := entry.task
		if group.size > 0 {
			task.Group = group.key.String()
			task.GroupSize = group.size
		}
		l.planner.Remove(id)
		l.planner.Add(task)
	}
}

// groupDue tells whether the members that wait may be offered now.
func (l *leader) groupDue(group *groupState) bool {
	if group.size > 0 && len(group.ready) != group.size {
		return false
	}
	for id := range group.ready {
		if !l.waiting[id].due {
			return false
		}
	}
	return true
}

func (l *leader) withholdGroup(group *groupState) {
	for id := range group.ready {
		l.planner.Remove(id)
	}
}

func (l *leader) groupRunOpened(run *runState, open *record.Run) {
	group := l.group(run.step)
	delete(group.ready, run.id.Task)
	group.open[run.id] = false
	group.size = open.Task.Step.GangSize()
	if run.lockstep {
		l.lockstepRunOpened(group, run, open)
	}
}

func (l *leader) groupRunStopping(run *runState, step *record.Step) {
	group := l.group(run.step)
	group.size = step.GangSize()
	l.offerGroup(group)
}

func (l *leader) groupRunStarted(run *runState) {
	if group, known := l.groups[run.step]; known {
		group.open[run.id] = true
		l.noteStarted(group)
	}
}

// groupRunClosed breaks the group if a member was lost before all had started.
func (l *leader) groupRunClosed(run *runState, outcome api.Outcome, step *record.Step) {
	group := l.group(run.step)
	whole := group.allStarted()
	delete(group.open, run.id)
	group.size = step.GangSize()
	lost := outcome == api.OutcomeLost || outcome == api.OutcomeStopped
	if lost && !whole && len(group.open) > 0 && !run.lockstep {
		l.breakGroup(group)
	}
	if len(group.open) == 0 {
		group.broken = false
	}
	if run.lockstep {
		// The record has marked the other members to stop.
		delete(l.starting, run.step)
	}
	l.offerGroup(group)
}

// breakGroup stops the other members, so that the group waits whole.
func (l *leader) breakGroup(group *groupState) {
	if group.broken {
		return
	}
	group.broken = true
	for id := range group.open {
		run := l.runs[id]
		l.closeIfNeverOrdered(run)
		l.stopLater(run, record.StopGang)
	}
}

// loadGroup takes over a group at the start of a term. It cannot be known
// whether all had started; members that wait without ever having failed show
// that a run was lost, and then the group is taken as not whole.
func (l *leader) loadGroup(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	group := l.group(step.Tasks[0].ID.StepID())
	group.size = step.GangSize()
	if step.Spec.Lockstep {
		// The record alone says whether it is broken.
		l.offerGroup(group)
		return
	}
	broken := slices.ContainsFunc(step.Tasks, func(task *record.Task) bool {
		return task.Run != nil && task.Run.Stop == record.StopGang
	})
	lost := slices.ContainsFunc(step.Tasks, func(task *record.Task) bool {
		return task.State == record.TaskReady && task.LastRun > 0 && task.Failures == 0
	})
	if (broken || lost) && len(group.open) > 0 {
		l.breakGroup(group)
	}
	l.offerGroup(group)
}
