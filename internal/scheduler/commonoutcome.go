package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// gangStartTimeout is the time within which all members of a gang with a common
	// outcome must be seen started. It counts from the release of the gang's assignments,
	// or from its placement while they are not released. After that time the
	// complete gang is requeued, before a worker gives up on a member that waits for the
	// others: workers may do so 3 s after the first member started, and a stop takes up to a
	// second.
	gangStartTimeout = 2 * time.Second
	// maxGangHeartbeatAgeIntervals is the maximum age of the newest heartbeat of each member's worker,
	// in heartbeat intervals, for the assignments of a gang to be released. All of them are
	// then sent within about one interval.
	maxGangHeartbeatAgeIntervals = 2
)

// commonOutcomeRunOpened begins to watch the start of the run's gang. A gang that an earlier
// leader placed more than gangStartTimeout ago counts as started: that leader watched its
// start, and a member lost since is detected by the lease of its worker.
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

// watchStart sets the gang's start deadline, unless the gang is already watched.
func (g *gangs) watchStart(gang *gangState) {
	if _, watched := g.starting[gang.key]; watched {
		return
	}
	gang.startDeadline = g.now() + gangStartTimeout
	g.starting[gang.key] = gang
}

// unwatchIfStarted stops watching a gang once all its open runs were seen started.
func (g *gangs) unwatchIfStarted(gang *gangState) {
	if gang.sharesOutcome && gang.allStarted() {
		delete(g.starting, gang.key)
	}
}

// mayAssign reports whether the worker may be sent the member's assignment now: the
// assignments of its gang were released before, or the workers of all members are expected
// to take theirs within about a heartbeat interval. In the second case it releases them.
func (g *gangs) mayAssign(run *runState) bool {
	gang := g.byStep[run.step]
	if gang.assignmentsReleased {
		return true
	}
	if len(gang.open) != gang.size {
		return false // some events of the placement have not been handled yet
	}
	now := g.now()
	for member := range gang.open {
		if !g.canReceiveAssignmentSoon(member, now) {
			return false
		}
	}
	gang.assignmentsReleased = true
	gang.startDeadline = now + gangStartTimeout
	return true
}

// canReceiveAssignmentSoon reports whether the run is neither being closed nor stopped and
// its worker is expected to take an assignment with its next heartbeat.
func (g *gangs) canReceiveAssignmentSoon(run *runState, now time.Duration) bool {
	if run.closing || run.stop != record.StopNone {
		return false
	}
	return g.workers.respondsSoon(run.worker, now)
}

// requeueOverdue requeues the watched gangs whose start deadline has passed.
func (g *gangs) requeueOverdue(now time.Duration) {
	for key, gang := range g.starting {
		if now < gang.startDeadline {
			continue
		}
		g.logger.Warn("gang did not start in time", slog.String("gang", key.String()),
			slog.Int("members", len(gang.open)), slog.Bool("assigned", gang.assignmentsReleased))
		delete(g.starting, key)
		g.avoidLateWorkers(gang)
		g.breakGang(gang)
	}
}

// avoidLateWorkers records the workers that delayed the start as failed for all members, so
// that the gang avoids them. Such a worker did not report its member as started or, if the
// assignments were not released, was not expected to take its assignment soon.
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
