package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// plannerWorkers is the planner's picture of the workers.
type plannerWorkers interface {
	SetWorker(worker placement.Worker)
	RemoveWorker(id string)
}

// workerRegistry holds the worker incarnations of this term, with their leases. It
// brings the planner's picture of a worker up to date whenever that changes.
type workerRegistry struct {
	*environment
	// byID are all incarnations, byName the registered ones.
	byID   map[string]*workerEntry
	byName map[string]*workerEntry
	// currentByAddress are the incarnations that were last proven to live there.
	currentByAddress map[string]*workerEntry
	// registered is the list of byName for admission; nil after a change.
	registered []placement.Worker
	// stalls are the leader's own, which are no missed heartbeats of workers.
	stalls stallTracker
	// timings are those of the configuration in force.
	timings *api.TimingConfig
	// startedAt is when the term began.
	startedAt time.Duration
	planner   plannerWorkers
}

func newWorkerRegistry(term *term) workerRegistry {
	return workerRegistry{
		environment:      term.environment,
		byID:             make(map[string]*workerEntry),
		byName:           make(map[string]*workerEntry),
		currentByAddress: make(map[string]*workerEntry),
		startedAt:        term.startedAt,
		planner:          term.planner,
	}
}

// add adds an incarnation that was not known.
func (r *workerRegistry) add(info record.Worker, now time.Duration) *workerEntry {
	worker := newWorkerEntry(info, now)
	r.byID[info.ID] = worker
	return worker
}

// register takes over what the record knows of a worker. It returns the
// incarnation, and the one that it replaces, which is forgotten; nil if none.
func (r *workerRegistry) register(info *record.Worker) (worker, replaced *workerEntry) {
	if earlier, known := r.byName[info.Name]; known && earlier.info.ID != info.ID {
		earlier.registered = false
		r.drop(earlier)
		replaced = earlier
	}
	worker, known := r.byID[info.ID]
	if !known {
		worker = r.add(*info, r.now())
	}
	worker.info = *info
	worker.registered = true
	r.byName[info.Name] = worker
	r.registered = nil
	return worker, replaced
}

// forget drops a registered incarnation. It reports whether it was known.
func (r *workerRegistry) forget(info *record.Worker) bool {
	worker, known := r.byName[info.Name]
	if !known || worker.info.ID != info.ID {
		return false
	}
	delete(r.byName, info.Name)
	r.registered = nil
	r.drop(worker)
	return true
}

// drop drops what was observed of an incarnation.
func (r *workerRegistry) drop(worker *workerEntry) {
	r.removePlannerWorker(worker)
	delete(r.byID, worker.info.ID)
	r.releaseAddress(worker)
}

// expiryUnlessAnswered is until when a worker may be running what an earlier leader
// gave it: that one may have answered a moment before the term began.
func (r *workerRegistry) expiryUnlessAnswered() time.Duration {
	return r.startedAt + r.leaseDuration() + r.driftMargin()
}

// leaseDuration is how long an answer lets a worker run on.
func (r *workerRegistry) leaseDuration() time.Duration { return r.timings.Hold.Std() }

func (r *workerRegistry) driftMargin() time.Duration { return r.timings.DriftMargin.Std() }

// updatePlannerWorker brings the planner's picture of a worker up to date.
func (r *workerRegistry) updatePlannerWorker(worker *workerEntry) {
	if !worker.registered {
		return
	}
	worker.planned.usable = worker.canTakeWork(r.now(), r.leaseDuration())
	worker.planned.unresponsive = r.isUnresponsive(worker, r.now())
	worker.planned.known = true
	r.planner.SetWorker(worker.plannerWorker(worker.planned.usable))
}

func (r *workerRegistry) removePlannerWorker(worker *workerEntry) {
	if !worker.planned.known {
		return
	}
	worker.planned.known = false
	worker.planned.usable, worker.planned.unresponsive = false, false
	r.planner.RemoveWorker(worker.info.ID)
}

// refreshPlannerWorker updates the planner's picture of a worker if that has changed. It
// reports whether that was so.
func (r *workerRegistry) refreshPlannerWorker(worker *workerEntry, now time.Duration) bool {
	if worker.planned.usable == worker.canTakeWork(now, r.leaseDuration()) && worker.planned.unresponsive == r.isUnresponsive(worker, now) {
		return false
	}
	r.updatePlannerWorker(worker)
	return true
}

// registeredWorkers returns the workers that the record knows. The list is made
// again after a change of any of them, and never changed once it is made.
func (r *workerRegistry) registeredWorkers() []placement.Worker {
	if r.registered == nil {
		r.registered = make([]placement.Worker, 0, len(r.byName))
		for _, worker := range r.byName {
			r.registered = append(r.registered, worker.plannerWorker(true))
		}
	}
	return r.registered
}

// mustRegister reports whether the worker must be registered in the record now. A new
// incarnation waits until the lease of the one before it has expired.
func (r *workerRegistry) mustRegister(worker *workerEntry, info record.Worker, now time.Duration) bool {
	if worker.registered {
		return !worker.info.SameDescription(&info)
	}
	earlier, known := r.byName[info.Name]
	if !known {
		return true
	}
	return len(earlier.runs) == 0 && now > earlier.lease.expiresAt
}

// heartbeatInterval is the pause that workers make between heartbeats, unless they are
// asked to send the next one promptly.
func (r *workerRegistry) heartbeatInterval() time.Duration {
	base := r.timings.HeartbeatInterval.Std()
	if r.off.Has(featuregate.HeartbeatWidening) {
		return base
	}
	scaled := base * time.Duration(len(r.byName)) / workersPerBaseInterval
	return min(max(base, scaled), max(base, r.leaseDuration()/intervalsPerLease))
}

// reviewedWorkers are the workers that would take work, whatever their health.
func (r *workerRegistry) reviewedWorkers() []workerhealth.ActiveWorker {
	subjects := make([]workerhealth.ActiveWorker, 0, len(r.byName))
	for _, worker := range r.byName {
		if worker.answered() && !worker.lease.expired && !worker.isLeaving() {
			subjects = append(subjects, workerhealth.ActiveWorker{ID: worker.info.ID, Services: worker.info.Services})
		}
	}
	slices.SortFunc(subjects, func(a, b workerhealth.ActiveWorker) int { return strings.Compare(a.ID, b.ID) })
	return subjects
}

// respondsSoon reports whether the worker would take an assignment, and was seen so
// lately that its next heartbeat is near.
func (r *workerRegistry) respondsSoon(worker *workerEntry, now time.Duration) bool {
	within := gangSeenIntervals * r.heartbeatInterval()
	return worker.canTakeWork(now, r.leaseDuration()) && worker.seenWithin(now, within)
}
