package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// gangStartTimeout is how long a gang with a common outcome may take from when its
	// assignments begin to go out, or from its placement if they do not, until all its
	// members were seen started. Beyond it all of the gang is requeued, so that none
	// waits for the others until its worker gives up: workers may do so 3 s after the
	// first member started, and a stop takes up to a second.
	gangStartTimeout = 2 * time.Second
	// gangSeenIntervals: assignments of a gang go out only if each member's worker was
	// seen within this many heartbeat intervals, so that all are out within about one.
	gangSeenIntervals = 2
)

// commonOutcomeRunOpened begins to watch that all of the gang starts. A gang that an
// earlier leader placed longer ago than the timeout counts as started: that leader
// watched it, and the leases of its workers guard it now.
func (g *gangs) commonOutcomeRunOpened(gang *gangState, run *runState, open *record.Run) {
	gang.sharesOutcome = true
	if len(gang.open) == 1 {
		gang.assignmentsReleased = run.isInherited()
	}
	if !run.isInherited() {
		g.watchStart(gang)
		return
	}
	age := time.Duration(g.clusterNow()-open.PlacedAt) * time.Millisecond
	if age <= gangStartTimeout {
		g.watchStart(gang)
	}
}

func (g *gangs) watchStart(gang *gangState) {
	if _, watched := g.starting[gang.key]; watched {
		return
	}
	gang.startBy = g.now() + gangStartTimeout
	g.starting[gang.key] = gang
}

// stopWatchingIfStarted ends the watch once every member was seen started.
func (g *gangs) stopWatchingIfStarted(gang *gangState) {
	if gang.sharesOutcome && gang.allStarted() {
		delete(g.starting, gang.key)
	}
}

// mayAssign reports whether the assignment of a member may be given now: those of its
// gang are going out, or the workers of all its members can be given theirs within
// about a heartbeat interval.
func (g *gangs) mayAssign(run *runState) bool {
	gang := g.byStep[run.step]
	if gang.assignmentsReleased {
		return true
	}
	if len(gang.open) != gang.size {
		return false // the events of the placement are still coming
	}
	now := g.now()
	for member := range gang.open {
		if !g.canReceiveAssignmentSoon(member, now) {
			return false
		}
	}
	gang.assignmentsReleased = true
	gang.startBy = now + gangStartTimeout
	return true
}

// canReceiveAssignmentSoon reports whether the worker of a run can be expected to take an
// assignment with its next heartbeat.
func (g *gangs) canReceiveAssignmentSoon(run *runState, now time.Duration) bool {
	if run.closing || run.stop != record.StopNone {
		return false
	}
	return g.workers.respondsSoon(run.worker, now)
}

// breakLate requeues gangs not all of whose members started in time.
func (g *gangs) breakLate(now time.Duration) {
	for key, gang := range g.starting {
		if now < gang.startBy {
			continue
		}
		g.logger.Warn("gang did not start in time", slog.String("gang", key.String()),
			slog.Int("members", len(gang.open)), slog.Bool("assigned", gang.assignmentsReleased))
		delete(g.starting, key)
		g.avoidLateWorkers(gang)
		g.breakGang(gang)
	}
}

// avoidLateWorkers has the gang avoid the workers that kept all of it from starting: those
// that were not seen in time to take their assignments, or to report that they have
// started.
func (g *gangs) avoidLateWorkers(gang *gangState) {
	now := g.now()
	for run, started := range gang.open {
		isStopped := run.closing || run.stop != record.StopNone
		if started || isStopped || !gang.assignmentsReleased && g.canReceiveAssignmentSoon(run, now) {
			continue
		}
		for member := range gang.open {
			g.failures.add(member.id.Task, run.worker.info.Name)
		}
	}
}
