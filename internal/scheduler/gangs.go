package scheduler

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// taskQueue is the planner's queue of tasks that wait.
type taskQueue interface {
	Add(task placement.Task)
	Remove(task record.TaskID)
}

// workerResponsiveness reports whether a worker can be expected to take an assignment
// within about a heartbeat interval.
type workerResponsiveness interface {
	respondsSoon(worker *workerEntry, now time.Duration) bool
}

// workerFailures records on which workers a task had better not run again.
type workerFailures interface {
	add(task record.TaskID, worker string)
}

// gangs follows the steps whose tasks must start together. It offers their members
// to the planner, and has those that started without the others stopped.
type gangs struct {
	*environment
	byStep map[record.StepID]*gangState
	// starting are the gangs with a common outcome not all of whose members have
	// started.
	starting map[record.StepID]*gangState
	planner  taskQueue
	ends     runEnder
	workers  workerResponsiveness
	failures workerFailures
}

// gangState is one gang.
type gangState struct {
	key record.StepID
	// size is the number of members that must be placed together, 0 if one may
	// be placed alone: the record's rule (record.Step.GroupSize).
	size int
	// ready are the members that wait; open the open runs, with true for
	// those that were seen started.
	ready map[record.TaskID]*waitingTask
	open  map[*runState]bool
	// broken is true from the loss of a member before all had started until
	// no member has an open run: none may be placed meanwhile.
	broken bool
	// sharesOutcome is set for a gang whose members also end together. startBy is when
	// all its members must have started, and assignmentsReleased is true once their
	// assignments are given out.
	sharesOutcome       bool
	startBy             time.Duration
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

func (s *gangState) allStarted() bool {
	for _, started := range s.open {
		if !started {
			return false
		}
	}
	return true
}

// isDue reports whether the members that wait may be offered now.
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

// find returns the gang of a step; nil if it is none.
func (g *gangs) find(key record.StepID) *gangState { return g.byStep[key] }

// gang returns the gang of a step, which is added if it is not known.
func (g *gangs) gang(key record.StepID) *gangState {
	gang, known := g.byStep[key]
	if !known {
		gang = &gangState{key: key, ready: make(map[record.TaskID]*waitingTask), open: make(map[*runState]bool)}
		g.byStep[key] = gang
	}
	return gang
}

// join adds a member that begins to wait.
func (g *gangs) join(entry *waitingTask, step *record.Step) {
	gang := g.gang(entry.step)
	gang.ready[entry.task.ID] = entry
	gang.size = step.GangSize()
}

// leave removes a member that no longer waits and was not placed.
func (g *gangs) leave(step record.StepID, task *record.Task) {
	gang := g.find(step)
	if gang == nil {
		return
	}
	delete(gang.ready, task.ID)
	gang.size = task.Step.GangSize()
	g.offer(gang)
}

// offer lets the planner place the members that wait: all together, or each alone
// once all of the gang has started.
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

func (g *gangs) withhold(gang *gangState) {
	for id := range gang.ready {
		g.planner.Remove(id)
	}
}

// runOpened records that a member was placed.
func (g *gangs) runOpened(run *runState, open *record.Run) {
	gang := g.gang(run.step)
	delete(gang.ready, run.id.Task)
	gang.open[run] = false
	gang.size = open.Task.Step.GangSize()
	if run.sharesOutcome {
		g.commonOutcomeRunOpened(gang, run, open)
	}
}

// runStopping records that a member is being stopped.
func (g *gangs) runStopping(run *runState, step *record.Step) {
	gang := g.gang(run.step)
	gang.size = step.GangSize()
	g.offer(gang)
}

// runStarted records that a member was seen started.
func (g *gangs) runStarted(run *runState) {
	if gang := g.find(run.step); gang != nil {
		gang.open[run] = true
		g.stopWatchingIfStarted(gang)
	}
}

// runClosed breaks the gang if a member was lost before all had started.
func (g *gangs) runClosed(run *runState, outcome api.Outcome, step *record.Step) {
	gang := g.gang(run.step)
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
		// The record has the other members stop.
		delete(g.starting, run.step)
	}
	g.offer(gang)
}

// breakGang stops the other members, so that all of the gang waits.
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

// load takes over a gang at the start of a term. It cannot be known whether all had
// started; members that wait without ever having failed show that a run was lost,
// and then the gang counts as broken.
func (g *gangs) load(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	gang := g.gang(step.Tasks[0].ID.StepID())
	gang.size = step.GangSize()
	if step.Spec.Lockstep {
		// The record alone says whether it is broken.
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

// waitsForMembers reports whether the run is of a gang not all of whose members have started:
// the others may then rightly wait.
func (g *gangs) waitsForMembers(run *runState) bool {
	if !run.inGang {
		return false
	}
	gang := g.find(run.step)
	return gang != nil && !gang.allStarted()
}

// drop forgets the gang of a step whose job has ended.
func (g *gangs) drop(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	key := step.Tasks[0].ID.StepID()
	delete(g.byStep, key)
	delete(g.starting, key)
}
