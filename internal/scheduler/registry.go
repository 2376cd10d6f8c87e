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

// plannerWorkers is the part of the planner that the registry updates.
type plannerWorkers interface {
	SetWorker(worker placement.Worker)
	RemoveWorker(id string)
}

// workerRegistry holds the worker incarnations known in this term and their leases, and
// updates the planner when a worker changes. It is guarded by leader.mu.
type workerRegistry struct {
	*environment
	// byID holds all incarnations, byName the registered ones.
	byID   map[string]*workerEntry
	byName map[string]*workerEntry
	// currentByAddress holds for each address the incarnation proven alive there last.
	currentByAddress map[string]*workerEntry
	// registered caches the workers of byName for admission; nil after a change.
	registered []placement.Worker
	// stalls tracks the leader's own delays, which must not count as missed heartbeats.
	stalls stallTracker
	// timings are those of the configuration in force.
	timings *api.TimingConfig
	// startedAt is the start of the term, on the monotonic clock.
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

// add adds an incarnation that is not known yet.
func (r *workerRegistry) add(info record.Worker, now time.Duration) *workerEntry {
	worker := newWorkerEntry(info, now)
	r.byID[info.ID] = worker
	return worker
}

// register makes the incarnation of a record's worker the registered one under its name.
// It returns the incarnation, and the one that it replaced, which is dropped; nil if none.
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

// forget drops a worker that the record no longer has. It returns false, and does
// nothing, if that incarnation is not the registered one under its name.
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

// drop removes an incarnation from the planner and from the indexes by ID and address.
func (r *workerRegistry) drop(worker *workerEntry) {
	r.removePlannerWorker(worker)
	delete(r.byID, worker.info.ID)
	r.releaseAddress(worker)
}

// inheritedLeaseExpiry returns the end of the lease of a worker that this leader has not
// answered: an earlier leader may have extended the lease right before the term began.
func (r *workerRegistry) inheritedLeaseExpiry() time.Duration {
	return r.startedAt + r.leaseDuration() + r.driftMargin()
}

// leaseDuration returns the length of the lease that an answer grants.
func (r *workerRegistry) leaseDuration() time.Duration { return r.timings.Hold.Std() }

func (r *workerRegistry) driftMargin() time.Duration { return r.timings.DriftMargin.Std() }

// updatePlannerWorker passes a registered worker to the planner.
func (r *workerRegistry) updatePlannerWorker(worker *workerEntry) {
	if !worker.registered {
		return
	}
	worker.plannerView.usable = worker.canTakeWork(r.now(), r.leaseDuration())
	worker.plannerView.unresponsive = r.isUnresponsive(worker, r.now())
	worker.plannerView.known = true
	r.planner.SetWorker(worker.plannerWorker(worker.plannerView.usable))
}

func (r *workerRegistry) removePlannerWorker(worker *workerEntry) {
	if !worker.plannerView.known {
		return
	}
	worker.plannerView.known = false
	worker.plannerView.usable, worker.plannerView.unresponsive = false, false
	r.planner.RemoveWorker(worker.info.ID)
}

// refreshPlannerWorker updates the planner if the worker has become usable, unusable,
// responsive or unresponsive. It reports whether that was so.
func (r *workerRegistry) refreshPlannerWorker(worker *workerEntry, now time.Duration) bool {
	if worker.plannerView.usable == worker.canTakeWork(now, r.leaseDuration()) && worker.plannerView.unresponsive == r.isUnresponsive(worker, now) {
		return false
	}
	r.updatePlannerWorker(worker)
	return true
}

// registeredWorkers returns the workers in the record, all as usable. The slice is rebuilt
// after a worker was registered or forgotten, and not modified once returned.
func (r *workerRegistry) registeredWorkers() []placement.Worker {
	if r.registered == nil {
		r.registered = make([]placement.Worker, 0, len(r.byName))
		for _, worker := range r.byName {
			r.registered = append(r.registered, worker.plannerWorker(true))
		}
	}
	return r.registered
}

// mustRegister reports whether the worker's description must be committed now. A new
// incarnation waits until the earlier one has no open runs and its lease has expired.
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

// heartbeatInterval returns the regular pause between heartbeats of a worker: at least the
// configured one, growing with the number of workers up to 1/intervalsPerLease of the
// lease.
func (r *workerRegistry) heartbeatInterval() time.Duration {
	base := r.timings.HeartbeatInterval.Std()
	if r.disabledFeatures.Has(featuregate.HeartbeatWidening) {
		return base
	}
	scaled := base * time.Duration(len(r.byName)) / workersPerBaseInterval
	return min(max(base, scaled), max(base, r.leaseDuration()/intervalsPerLease))
}

// activeWorkers returns the workers that would get new work if they were healthy, by ID.
func (r *workerRegistry) activeWorkers() []workerhealth.ActiveWorker {
	active := make([]workerhealth.ActiveWorker, 0, len(r.byName))
	for _, worker := range r.byName {
		if worker.answered() && !worker.lease.expired && !worker.isLeaving() {
			active = append(active, workerhealth.ActiveWorker{ID: worker.info.ID, Services: worker.info.Services})
		}
	}
	slices.SortFunc(active, func(a, b workerhealth.ActiveWorker) int { return strings.Compare(a.ID, b.ID) })
	return active
}

// respondsSoon implements workerResponsiveness. It reports whether the worker can take
// work and was seen within maxGangHeartbeatAgeIntervals heartbeat intervals.
func (r *workerRegistry) respondsSoon(worker *workerEntry, now time.Duration) bool {
	maxAge := maxGangHeartbeatAgeIntervals * r.heartbeatInterval()
	return worker.canTakeWork(now, r.leaseDuration()) && worker.seenWithin(now, maxAge)
}
