package scheduler

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/scheduler/calendar"
	"github.com/decklever/decklever/internal/scheduler/repeats"
)

const (
	// tickInterval is the interval between two checks of leases, timed starts and drains.
	tickInterval = 50 * time.Millisecond
	// planLimit is the maximum number of placements of one planner pass. It bounds the
	// size of one log entry and the time for which the leader's lock is held.
	planLimit = 512
	// proposalTimeout is the timeout of one of the leader's own proposals.
	proposalTimeout = 3 * time.Second
)

// leader implements the work of the leading replica for one term.
//
// Lock order: the record's lock is acquired before mu, since the record calls
// handleEvent under its lock. So code that holds mu must not read the record.
type leader struct {
	term
	proposer proposer

	mu          sync.Mutex
	calendar    calendar.Calendar
	settings    settings
	drains      drains
	registry    workerRegistry
	assignments assignments
	pending     pendingWork
	gangs       gangs
	health      healthReview
	admission   admissionControl
	// repeats has the jobs with occurrences that are still to be added.
	repeats repeats.Jobs
	// jobWaiters has a channel for each job whose end calls wait for.
	jobWaiters jobWaiters
}

// Planner is the part of package placement that a leader uses.
type Planner interface {
	placement.Planner
	placement.ReservationPlanner
}

// leaderConfig configures a leader.
type leaderConfig struct {
	Log     replica.Log
	Archive record.Archive
	// ArchiveBytes is the maximum size of the archive, in bytes.
	ArchiveBytes int64
	Planner      Planner
	Logger       *slog.Logger
	Metrics      *metrics
	Now          func() time.Duration
	Leadership   replica.Leadership
	// DisabledFeatures are the features that an experiment disables.
	DisabledFeatures featuregate.DisabledSet
}

func newLeader(config leaderConfig) *leader {
	term := newTerm(config)
	l := &leader{
		term:       term,
		registry:   newWorkerRegistry(&term),
		proposer:   newProposer(),
		settings:   newSettings(),
		calendar:   calendar.New(term.logger),
		health:     newHealthReview(term.environment),
		admission:  newAdmissionControl(term.environment),
		repeats:    repeats.New(),
		jobWaiters: make(jobWaiters),
	}
	l.drains = newDrains(&l.term, &l.proposer)
	l.pending = newPendingWork(&l.term, &l.admission.slo)
	l.gangs = newGangs(&l.term, &l.proposer, &l.registry, l.health.failedWorkers)
	l.assignments = newAssignments(l.environment, &l.proposer, &l.gangs, &l.pending)
	return l
}

// run runs the leader's loops until the term ends. It calls ready once calls can be
// served.
func (l *leader) run(ready func()) {
	stopObserving := l.log.Record().Observe(l.load, l.handleEvent)
	defer stopObserving()
	ready()
	var loops sync.WaitGroup
	loops.Go(func() { l.runPeriodically(tickInterval, l.observeTick, l.tick) })
	loops.Go(l.planLoop)
	loops.Go(l.proposeLoop)
	loops.Go(func() { l.runPeriodically(expireInterval, l.expireArchive) })
	<-l.context.Done()
	loops.Wait()
}

// load builds the state of the components from the record. The lease of every worker
// with an open run lasts as if the worker had been answered at the start of the term,
// since the previous leader may have answered it just before.
func (l *leader) load(view record.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, config := view.Config()
	l.configChangedTo(version, config)
	for _, window := range view.ReleasedWindows() {
		l.calendar.Release(window)
	}
	l.drains.drainedZones = slices.Clone(view.DrainedZones())
	for worker := range view.Workers() {
		l.workerRegistered(worker)
	}
	expiry := l.registry.inheritedLeaseExpiry()
	for open := range view.AllOpenRuns() {
		run := l.runOpened(open, placedByEarlierLeader)
		run.openedAt -= time.Duration(view.Clock()-open.PlacedAt) * time.Millisecond
		run.worker.lease.extend(expiry)
	}
	for job := range view.Jobs("") {
		l.repeats.Add(job)
		l.admission.slo.ObserveCriticalPath(job.Spec.Queue, l.pending.criticalPathsOf(job).Job)
		if !hasRecordedStart(job) {
			l.assignments.pendingStarts.add(job)
		}
		for _, step := range job.Steps {
			l.loadStep(step)
		}
	}
	l.wake()
}

// tick does the work that depends on time alone: leases, drains, reviews, reservations,
// timers.
func (l *leader) tick() {
	clusterNow := l.log.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.registry.expireLeases(now, &l.proposer)
	l.registry.refreshPlannerWorkers(now)
	l.revokeOnMissedHeartbeats(now)
	l.stopDrained(now)
	l.gangs.requeueOverdue(now)
	l.stopDeparting(now)
	l.reviewHealth(now)
	if l.admission.slo.Review(now, l.settings.config.Queues) {
		l.planner.SetDeferences(l.admission.slo.Deferences())
	}
	l.planner.SetTime(clusterNow)
	l.refreshReservations(clusterNow)
	l.offerChanged(l.pending.refreshRanks(clusterNow))
	l.releaseTimers(clusterNow)
	l.proposer.enqueueExpansions(l.repeats.TakeDue(clusterNow))
	// The planner frees capacity over several passes, so it is woken without an event too.
	l.wake()
}
