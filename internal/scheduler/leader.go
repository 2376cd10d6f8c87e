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
	// tickInterval is how often leases, timed starts and drains are examined.
	tickInterval = 50 * time.Millisecond
	// planLimit bounds the placements of one pass, and so the size of one log
	// entry and the time for which the leader's lock is held.
	planLimit = 512
	// proposalTimeout bounds the leader's own proposals.
	proposalTimeout = 3 * time.Second
)

// leader is one term as acting scheduler.
//
// Lock order: the record's lock comes before mu, since the record calls
// handleEvent under its lock. So nothing that holds mu may read the record.
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
	// repeats are jobs with occurrences to come.
	repeats repeats.Jobs
	// jobWaiters are closed when the job ends.
	jobWaiters jobWaiters
}

// Planner is what a leader needs of package placement.
type Planner interface {
	placement.Planner
	placement.ReservationPlanner
}

// leaderConfig makes a leader.
type leaderConfig struct {
	Log     replica.Log
	Archive record.Archive
	// ArchiveBytes bounds the archive, in bytes.
	ArchiveBytes int64
	Planner      Planner
	Logger       *slog.Logger
	Metrics      *metrics
	Now          func() time.Duration
	Leadership   replica.Leadership
	// Off are the mechanisms that are switched off.
	Off featuregate.DisabledSet
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
	l.drains = newDrains(l.environment, &l.proposer)
	l.pending = newPendingWork(&l.term, &l.admission.slo)
	l.gangs = newGangs(&l.term, &l.proposer, &l.registry, l.health.failedWorkers)
	l.assignments = newAssignments(l.environment, &l.proposer, &l.gangs, &l.pending)
	return l
}

// run works until the term ends. ready is called once calls can be served.
func (l *leader) run(ready func()) {
	stopObserving := l.log.Record().Observe(l.load, l.handleEvent)
	defer stopObserving()
	ready()
	var loops sync.WaitGroup
	loops.Go(func() { l.every(tickInterval, l.observeTick, l.tick) })
	loops.Go(l.planLoop)
	loops.Go(l.proposeLoop)
	loops.Go(func() { l.every(expireInterval, l.expireArchive) })
	<-l.context.Done()
	loops.Wait()
}

// load builds the components from the record. Every worker with an open run counts
// as answered now: an earlier leader may have done so a moment ago.
func (l *leader) load(view record.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, config := view.Config()
	l.configChangedTo(version, config)
	for _, window := range view.ReleasedWindows() {
		l.calendar.Release(window)
	}
	l.drains.zones = slices.Clone(view.DrainedZones())
	for worker := range view.Workers() {
		l.workerRegistered(worker)
	}
	expiry := l.registry.expiryUnlessAnswered()
	for open := range view.AllOpenRuns() {
		run := l.runOpened(open, placedByEarlierLeader)
		run.openedAt -= time.Duration(view.Clock()-open.PlacedAt) * time.Millisecond
		run.worker.lease.extend(expiry)
	}
	for job := range view.Jobs("") {
		l.repeats.Add(job)
		l.admission.slo.ObserveChain(job.Spec.Queue, l.pending.chainsOf(job).Job)
		if !mayHaveStarted(job) {
			l.assignments.pendingStarts.add(job)
		}
		for _, step := range job.Steps {
			l.loadStep(step)
		}
	}
	l.wake()
}

// tick does what time alone brings about: leases, drains, reviews, reservations, timers.
func (l *leader) tick() {
	clusterNow := l.log.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.registry.expireLeases(now, &l.proposer)
	l.registry.refreshPlannerWorkers(now)
	l.revokeOnMissedHeartbeats(now)
	l.stopDrained(now)
	l.gangs.breakLate(now)
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
	// The planner frees capacity step by step, and continues although nothing came.
	l.wake()
}
