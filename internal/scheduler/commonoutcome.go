package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// gangStartTimeout is how long a group in lockstep may take from when its
	// orders begin to go out, or from its placement if they do not, until all
	// its members were seen started. Beyond it the group goes back whole, so
	// that none waits for the others until its worker gives up: workers may do
	// so 3 s after the first member began, and a stop takes up to a second.
	gangStartTimeout = 2 * time.Second
	// gangSeenIntervals: orders of a group go out only if each member's worker
	// was heard within this many heartbeat intervals, so that all are out within
	// about one.
	gangSeenIntervals = 2
)

// commonOutcomeRunOpened begins to watch that the group starts whole. A group that
// an earlier leader placed longer ago than the bound counts as started: that
// leader watched it, and the holds of its workers guard it now.
func (l *leader) commonOutcomeRunOpened(gang *gangState, run *runState, open *record.Run) {
	gang.sharesOutcome = true
	if len(gang.open) == 1 {
		gang.assignmentsReleased = run.inherited
	}
	if !run.inherited {
		l.watchStart(gang)
		return
	}
	age := time.Duration(l.log.Now()-open.PlacedAt) * time.Millisecond
	if age <= gangStartTimeout {
		l.watchStart(gang)
	}
}

func (l *leader) watchStart(gang *gangState) {
	if _, watched := l.startingGangs[gang.key]; watched {
		return
	}
	gang.startBy = l.now() + gangStartTimeout
	l.startingGangs[gang.key] = gang
}

// stopWatchingIfStarted ends the watch once every member was seen started.
func (l *leader) stopWatchingIfStarted(gang *gangState) {
	if gang.sharesOutcome && gang.allStarted() {
		delete(l.startingGangs, gang.key)
	}
}

// mayAssignMember tells whether the order of a member may be given now: the
// orders of its group are going out, or the workers of all its members can be
// given theirs within about a heartbeat interval.
func (l *leader) mayAssignMember(run *runState) bool {
	gang := l.gangs[run.step]
	if gang.assignmentsReleased {
		return true
	}
	if len(gang.open) != gang.size {
		return false // the mirror is still taking over the placement
	}
	now := l.now()
	for id := range gang.open {
		if !l.canReceiveAssignmentSoon(l.runs[id], now) {
			return false
		}
	}
	gang.assignmentsReleased = true
	gang.startBy = now + gangStartTimeout
	return true
}

// canReceiveAssignmentSoon tells whether the worker of a run can be expected to take an
// order with its next heartbeat.
func (l *leader) canReceiveAssignmentSoon(run *runState, now time.Duration) bool {
	if run.closing || run.stop != record.StopNone {
		return false
	}
	worker := run.worker
	within := gangSeenIntervals * l.registry.interval(false)
	return worker.canTakeWork(now, l.registry.leaseDuration()) && worker.seenWithin(now, within)
}

// breakLateGangs sends groups back that did not start whole in time.
func (l *leader) breakLateGangs(now time.Duration) {
	for key, gang := range l.startingGangs {
		if now < gang.startBy {
			continue
		}
		l.logger.Warn("group did not start whole in time", slog.String("group", key.String()),
			slog.Int("members", len(gang.open)), slog.Bool("ordered", gang.assignmentsReleased))
		delete(l.startingGangs, key)
		l.avoidLateWorkers(gang)
		l.breakGang(gang)
	}
}

// avoidLateWorkers has the group run elsewhere if it can than on the workers that kept it
// from starting whole: those that were not heard in time to take their orders, or to
// tell that they have started.
func (l *leader) avoidLateWorkers(gang *gangState) {
	now := l.now()
	for id, started := range gang.open {
		run := l.runs[id]
		isStopped := run.closing || run.stop != record.StopNone
		if started || isStopped || !gang.assignmentsReleased && l.canReceiveAssignmentSoon(run, now) {
			continue
		}
		for member := range gang.open {
			l.health.failedWorkers.add(member.Task, run.worker.info.Name)
		}
	}
}

// dropGang forgets the group of a step whose job has ended.
func (l *leader) dropGang(step *record.Step) {
	if len(step.Tasks) == 0 {
		return
	}
	key := step.Tasks[0].ID.StepID()
	delete(l.gangs, key)
	delete(l.startingGangs, key)
}
