package scheduler

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// taskQueue is the planner's queue of waiting tasks.
type taskQueue interface {
	Add(task placement.Task)
	Remove(task record.TaskID)
}

// workerResponsiveness tells whether a worker is expected to take an assignment within about
// a heartbeat interval.
type workerResponsiveness interface {
	respondsSoon(worker *workerEntry, now time.Duration) bool
}

// workerFailures records the workers that a task should avoid.
type workerFailures interface {
	add(task record.TaskID, worker string)
}

// gangs tracks the steps whose tasks must start together. It offers their members to the
// planner, and stops the members that have started if others cannot.
type gangs struct {
	*environment
	byStep map[record.StepID]*gangState
	// starting holds the gangs with a common outcome whose start is being watched.
	starting map[record.StepID]*gangState
	planner  taskQueue
	ends     runEnder
	workers  workerResponsiveness
	failures workerFailures
}

// gangState is the state of one gang.
type gangState struct {
	key record.StepID
	// size is the number of members that must be placed together, as the record requires
	// it (record.Step.GangSize); 0 if a member may be placed alone.
	size int
	// ready holds the waiting members. open holds the open runs, each with true once it was
	// seen started.
	ready map[record.TaskID]*waitingTask
	open  map[*runState]bool
	// broken is true from when the gang is to be requeued, because a member was lost before
	// all had started or the start took too long, until no member has an open run. No member
	// may be placed meanwhile.
	broken bool
	// sharesOutcome is set for a gang with a common outcome: its members also end together.
	// The next two fields apply to such gangs only: startDeadline is when all members must
	// have started, assignmentsReleased is true once their assignments may be sent.
	sharesOutcome       bool
	startDeadline       time.Duration
	assignmentsReleased bool
}

func newGangs(term *term, ends runEnder, workers workerResponsiveness, failures workerFailures) gangs {
	return gangs{
		environment: term.environment,
		byStep:      make(map[record.StepID]*gangState),
		starting:    make(map[record.StepID]*gangState),
		planner:     term.planner,
		ends:        ends,
		workers:     workers,
		failures:    failures,
	}
}

// allStarted reports whether all open runs were seen started.
func (s *gangState) allStarted() bool {
	for _, started := range s.open {
		if !started {
			return false
		}
	}
	return true
}

// isDue reports whether the waiting members may be offered now: they are all due and, if they
// must be placed together, complete.
func (s *gangState) isDue() bool {
	if s.size > 0 && len(s.ready) != s.size {
		return false
	}
	for _, entry := range s.ready {
		if !entry.due {
			return false
		}
	}
	return true
}

// find returns the gang of a step, or nil if none is known.
func (g *gangs) find(key record.StepID) *gangState { return g.byStep[key] }

// findOrAdd returns the gang of a step and adds it if it is not known.
func (g *gangs) findOrAdd(key record.StepID) *gangState {
	gang, known := g.byStep[key]
	if !known {
		gang = &gangState{key: key, ready: make(map[record.TaskID]*waitingTask), open: make(map[*runState]bool)}
		g.byStep[key] = gang
	}
	return gang
}

// join adds a waiting member.
func (g *gangs) join(entry *waitingTask, step *record.Step) {
	gang := g.findOrAdd(entry.step)
	gang.ready[entry.task.ID] = entry
	gang.size = step.GangSize()
}

// leave removes a member that stopped waiting without being placed.
func (g *gangs) leave(step record.StepID, task *record.Task) {
	gang := g.find(step)
	if gang == nil {
		return
	}
	delete(gang.ready, task.ID)
	gang.size = task.Step.GangSize()
	g.offer(gang)
}

// offer gives the waiting members to the planner: all together as one gang, or each alone if
// the gang's size is 0. While the gang is broken or not due, it withdraws them instead.
func (g *gangs) offer(gang *gangState) {
	if gang.broken || !gang.isDue() {
		g.withhold(gang)
		return
	}
	for id, entry := range gang.ready {
		if entry.placing {
			continue
		}
		task := entry.task
		if gang.size > 0 {
			task.Gang = gang.key.String()
			task.GangSize = gang.size
		}
		g.planner.Remove(id)
		g.planner.Add(task)
	}
}

// withhold withdraws the waiting members from the planner.
func (g *gangs) withhold(gang *gangState) {
	for id := range gang.ready {
		g.planner.Remove(id)
	}
}

// runOpened records that a run of a member was opened.
func (g *gangs) runOpened(run *runState, open *record.Run) {
	gang := g.findOrAdd(run.step)
	delete(gang.ready, run.id.Task)
	gang.open[run] = false
	gang.size = open.Task.Step.GangSize()
	if run.sharesOutcome {
		g.commonOutcomeRunOpened(gang, run, open)
	}
}

// runStopping records that a member is being stopped.
func (g *gangs) runStopping(run *runState, step *record.Step) {
	gang := g.findOrAdd(run.step)
	gang.size = step.GangSize()
	g.offer(gang)
}

// runStarted records that a heartbeat showed that the member has started.
func (g *gangs) runStarted(run *runState) {
	if gang := g.find(run.step); gang != nil {
		gang.open[run] = true
		g.unwatchIfStarted(gang)
	}
}

// runClosed removes a member's closed run. A gang without a common outcome is broken if the
// run was lost or stopped before all members had started.
func (g *gangs) runClosed(run *runState, outcome api.Outcome, step *record.Step) {
	gang := g.findOrAdd(run.step)
	allStarted := gang.allStarted()
	delete(gang.open, run)
	gang.size = step.GangSize()
	lost := outcome == api.OutcomeLost || outcome == api.OutcomeStopped
	if lost && !allStarted && len(gang.open) > 0 && !run.sharesOutcome {
		g.breakGang(gang)
	}
	if len(gang.open) == 0 {
		gang.broken = false
	}
	if run.sharesOutcome {
		// The record itself stops the other members.
		delete(g.starting, run.step)
	}
	g.offer(gang)
}

// breakGang closes or stops the gang's open runs, so that all members wait together again.
func (g *gangs) breakGang(gang *gangState) {
	if gang.broken {
		return
	}
	gang.broken = true
	for run := range gang.open {
		g.ends.closeIfNeverAssigned(run)
		g.ends.enqueueStop(run, record.StopGang)
	}
}

// load restores a gang at the start of a term. The record does not show whether all members
// had started. A ready member that has had a run and no failure shows that a run was lost:
// the gang then counts as broken, as it does if a member is being stopped with StopGang.
func (g *gangs) load(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	gang := g.findOrAdd(step.Tasks[0].ID.StepID())
	gang.size = step.GangSize()
	if step.Spec.Lockstep {
		// The record itself stops and requeues a gang with a common outcome.
		g.offer(gang)
		return
	}
	broken := slices.ContainsFunc(step.Tasks, func(task *record.Task) bool {
		return task.Run != nil && task.Run.Stop == record.StopGang
	})
	lost := slices.ContainsFunc(step.Tasks, func(task *record.Task) bool {
		return task.State == record.TaskReady && task.LastRun > 0 && task.Failures == 0
	})
	if (broken || lost) && len(gang.open) > 0 {
		g.breakGang(gang)
	}
	g.offer(gang)
}

// waitsForMembers reports whether the run belongs to a gang whose open runs have not all
// started. A member that makes no progress then counts as waiting, not as stalled.
func (g *gangs) waitsForMembers(run *runState) bool {
	if !run.inGang {
		return false
	}
	gang := g.find(run.step)
	return gang != nil && !gang.allStarted()
}

// remove removes the gang of an ended step.
func (g *gangs) remove(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	key := step.Tasks[0].ID.StepID()
	delete(g.byStep, key)
	delete(g.starting, key)
}
