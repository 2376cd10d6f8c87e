package placement

import (
	"maps"
	"slices"
	"sort"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/placement/utilization"
)

// worker is a worker incarnation and the runs on it. workerIndex maintains its sums and
// its positions in pools; the comments of other fields name the type that writes them.
type worker struct {
	// Fields read by searches come first, so that they share a cache line.
	availability
	// backfillFor is the sub-queue for which the worker is reserved, or nil. Tasks
	// ordered after that sub-queue do not use the worker. Written by
	// backfillReservations.
	backfillFor *subQueue
	// restricted is set while the worker is on probation or suspect: it takes only some
	// of the tasks that fit.
	restricted bool
	// preferred is set while a label of the worker counts as recently preferred by tasks.
	// Written by preferredReserve.
	preferred bool
	// Worker is the description last set; only ID is set while known is false.
	Worker
	// known is false if the worker exists only because runs on it were added.
	known bool
	usage
	// runs holds the open and the nominated runs. Written by runTable.
	runs map[*run]struct{}
	// slots are the reserved slots on this worker. Written by reservationTable.
	slots []*slotSet
	pools []*pool
	// version is incremented when the free capacity changes; cachedVictims is the last
	// result of victimsFor.
	version       uint64
	cachedVictims victimsResult
	// changed is set while the worker is listed in workerIndex.changed.
	changed bool
}

// availability is the free capacity of a worker, as of the last change or refresh.
type availability struct {
	// freeSize and unreservedSize are the normalized sizes of free and unreserved.
	freeSize, unreservedSize float64
	// free is what a preemptible task may use: the minimum of what is free now and what
	// is free once stopping runs ended and nominated runs started. It is negative if the
	// capacity shrank below what is used.
	free api.Resources
	// profile is the capacity that remains when the windows of reserved slots start.
	profile []profilePoint
	// unreserved is the part of free that no reserved slot needs at any time.
	unreserved api.Resources
}

// usage holds the sums of what runs take of a worker.
type usage struct {
	// used is what open runs take; stopping is the part of used whose runs were asked to
	// stop; nominated is what is promised to nominated runs; preemptible is the part of
	// used that preemption could free.
	used, stopping, nominated, preemptible api.Resources
	// longRunning is the part of used whose runs keep it until they are cancelled,
	// whatever else waits.
	longRunning api.Resources
}

// workerIndex owns the workers, their free capacity, and their order in pools. Each pool
// is a sorted slice: a search starts at the first worker with enough free capacity, and
// moving a worker takes one binary search and one copy in each of its pools.
//
// Every change of free capacity goes through allocate, deallocate, updateRun or
// updateSlots. They remove the worker from its pools before the change, because it is
// found there by its size before the change.
type workerIndex struct {
	byID  map[string]*worker
	pools map[selector]*pool
	// idlePools is the number of pools without users.
	idlePools int
	// largestCapacity is the maximum capacity of any worker in each dimension, used to normalize
	// sizes; refresh updates it.
	largestCapacity api.Resources
	// largestStale is set when largest must be recomputed.
	largestStale bool
	// slowCount is the number of slow workers; restricted lists the workers that are on
	// probation or suspect, ordered by name.
	slowCount  int
	restricted []*worker
	// changed lists the workers on which more may fit than in the last pass.
	changed []*worker
}

func newWorkerIndex() *workerIndex {
	return &workerIndex{byID: map[string]*worker{}, pools: map[selector]*pool{}}
}

// getOrCreate returns the worker with the given ID, and creates one that is not known if there is
// none.
func (x *workerIndex) getOrCreate(id string) *worker {
	if found, ok := x.byID[id]; ok {
		return found
	}
	created := &worker{Worker: Worker{ID: id}, runs: map[*run]struct{}{}}
	x.byID[id] = created
	return created
}

// find returns the worker with the given ID, known or not; nil if there is none.
func (x *workerIndex) find(id string) *worker { return x.byID[id] }

// byName returns all workers ordered by name.
func (x *workerIndex) byName() []*worker {
	return slices.SortedFunc(maps.Values(x.byID), compareName)
}

// anyRestricted reports whether any worker is restricted.
func (x *workerIndex) anyRestricted() bool { return len(x.restricted) > 0 }

// hasFreeCapacity reports whether a task fits now on a usable, unrestricted worker
// outside of reserved capacity. It ignores spread rules.
func (x *workerIndex) hasFreeCapacity(spec *api.TaskSpec) bool {
	for _, w := range x.byID {
		if isUsable(w) && !w.restricted && fits(spec.Resources, w.unreserved) &&
			w.Offers(spec.Service) && w.HasLabels(spec.Labels) {
			return true
		}
	}
	return false
}

// countUtilization recounts the capacity and the usage of all known workers.
func (x *workerIndex) countUtilization(table *utilization.Table) {
	table.Reset()
	for _, w := range x.byID {
		if w.known {
			table.AddWorker(w.Services, w.Capacity, w.used)
		}
	}
}

// descriptions returns the known workers, and those of them that are usable.
func (x *workerIndex) descriptions() (known, usable []Worker) {
	for _, w := range x.byID {
		if !w.known {
			continue
		}
		known = append(known, w.Worker)
		if w.Usable {
			usable = append(usable, w.Worker)
		}
	}
	return known, usable
}

// set replaces the description of a worker.
func (x *workerIndex) set(w *worker, to Worker) {
	x.removeFromPools(w)
	x.removeHealthCounts(w)
	to.Services = slices.Clone(to.Services)
	to.Labels = maps.Clone(to.Labels)
	w.Worker, w.known = to, true
	w.restricted = to.Probation || to.Suspect
	x.addHealthCounts(w)
	w.pools = nil
	x.largestStale = true
	w.rebuildProfile()
	x.updateFree(w)
	for _, p := range x.pools {
		if p.matches(w) {
			w.pools = append(w.pools, p)
			p.version++
		}
	}
	x.insertIntoPools(w)
	x.addChanged(w)
}

// remove drops a worker that has no runs.
func (x *workerIndex) remove(w *worker) {
	x.removeFromPools(w)
	x.removeHealthCounts(w)
	w.pools = nil
	// The worker may still be listed as changed; no slot may be assigned to it.
	w.known = false
	x.largestStale = true
	delete(x.byID, w.ID)
}

// allocate adds a run to the sums of its worker.
func (x *workerIndex) allocate(r *run) {
	w := r.worker
	x.removeFromPools(w)
	w.account(r, allocated)
	x.updateFree(w)
	x.insertIntoPools(w)
}

// deallocate is the reverse of allocate.
func (x *workerIndex) deallocate(r *run) {
	w := r.worker
	x.removeFromPools(w)
	w.account(r, deallocated)
	x.updateFree(w)
	x.insertIntoPools(w)
}

// updateRun changes the state of a run and updates the sums of its worker.
func (x *workerIndex) updateRun(r *run, change func()) {
	x.deallocate(r)
	change()
	x.allocate(r)
}

// updateSlots changes the slots on a worker and updates its profile and free capacity.
func (x *workerIndex) updateSlots(w *worker, change func()) {
	x.removeFromPools(w)
	change()
	w.rebuildProfile()
	x.updateFree(w)
	x.insertIntoPools(w)
}

// updateFree recomputes the free capacity of a worker.
func (x *workerIndex) updateFree(w *worker) {
	w.version++
	w.free = w.freeNow()
	if w.stopping != (api.Resources{}) || w.nominated != (api.Resources{}) {
		w.free = resources.Min(w.free, w.freeOnceStopped())
	}
	w.freeSize = resources.NormalizedSize(w.free, x.largestCapacity)
	w.unreserved, w.unreservedSize = w.free, w.freeSize
	if len(w.profile) == 0 {
		return
	}
	for i := range w.profile {
		w.unreserved = resources.Min(w.unreserved, w.profile[i].slack)
	}
	w.unreservedSize = resources.NormalizedSize(w.unreserved, x.largestCapacity)
}

// addChanged lists a worker as changed for the next pass.
func (x *workerIndex) addChanged(w *worker) {
	if w.changed {
		return
	}
	w.changed = true
	x.changed = append(x.changed, w)
}

// pendingChanges returns the list that takeChanged would return now, and keeps it.
func (x *workerIndex) pendingChanges() []*worker { return x.changed }

// takeChanged returns the list of changed workers and empties it.
func (x *workerIndex) takeChanged() []*worker {
	changed := x.changed
	x.changed = nil
	for _, w := range changed {
		w.changed = false
	}
	return changed
}

// refresh recomputes the sizes of all workers if the largest capacity changed.
func (x *workerIndex) refresh() {
	if !x.largestStale {
		return
	}
	x.largestStale = false
	var largest api.Resources
	for _, w := range x.byID {
		largest = resources.Max(largest, w.Capacity)
	}
	if largest == x.largestCapacity {
		return
	}
	x.largestCapacity = largest
	for _, w := range x.byID {
		x.updateFree(w)
	}
	for _, p := range x.pools {
		slices.SortFunc(p.workers, p.compare)
	}
}

// maxIdlePools bounds the pools kept without a user, so that a steady stream of similar
// tasks does not rebuild its pool each time.
const maxIdlePools = 64

// selector determines which workers a class may use, regardless of their free capacity,
// and how they are ordered.
type selector struct {
	service, labels string
	// byUnreserved orders the workers by worker.unreservedSize. It is set for
	// reservations, and for tasks that cannot be preempted and have no maximum duration.
	byUnreserved bool
}

// pool holds the usable workers that match a selector, least free capacity first.
type pool struct {
	selector selector
	labels   map[string]string
	workers  []*worker
	compare  func(a, b *worker) int
	// users is the number of classes and reservations that use the pool.
	users int
	// waitingClasses holds the classes that are unschedulable or for which a gang waits: a
	// changed worker of the pool is compared with them.
	waitingClasses map[*equivalenceClass]struct{}
	// version is incremented when a worker that matches the pool is described.
	version uint64
}

// acquirePool returns the pool of a selector for one more class or reservation.
func (x *workerIndex) acquirePool(wanted selector, labels map[string]string) *pool {
	p, ok := x.pools[wanted]
	if !ok {
		p = x.buildPool(wanted, maps.Clone(labels))
	} else if p.users == 0 {
		x.idlePools--
	}
	p.users++
	return p
}

// releasePool ends the use of the pool by one class or reservation.
func (x *workerIndex) releasePool(p *pool) {
	p.users--
	if p.users > 0 {
		return
	}
	x.idlePools++
	if x.idlePools > maxIdlePools {
		x.dropIdlePools()
	}
}

// buildPool creates a pool of the current workers.
func (x *workerIndex) buildPool(wanted selector, labels map[string]string) *pool {
	p := &pool{selector: wanted, labels: labels, compare: compareFullest, waitingClasses: map[*equivalenceClass]struct{}{}}
	if wanted.byUnreserved {
		p.compare = compareLeastUnreserved
	}
	x.pools[wanted] = p
	for _, w := range x.byID {
		if p.matches(w) {
			w.pools = append(w.pools, p)
			p.workers = append(p.workers, w)
		}
	}
	slices.SortFunc(p.workers, p.compare)
	return p
}

// dropIdlePools drops the pools without users.
func (x *workerIndex) dropIdlePools() {
	for wanted, p := range x.pools {
		if p.users == 0 {
			delete(x.pools, wanted)
		}
	}
	for _, w := range x.byID {
		w.pools = slices.DeleteFunc(w.pools, func(p *pool) bool { return p.users == 0 })
	}
	x.idlePools = 0
}

func (x *workerIndex) insertIntoPools(w *worker) {
	for _, p := range w.pools {
		at, _ := slices.BinarySearchFunc(p.workers, w, p.compare)
		p.workers = slices.Insert(p.workers, at, w)
	}
}

func (x *workerIndex) removeFromPools(w *worker) {
	for _, p := range w.pools {
		at, found := slices.BinarySearchFunc(p.workers, w, p.compare)
		if found {
			p.workers = slices.Delete(p.workers, at, at+1)
		}
	}
}

func (p *pool) matches(w *worker) bool {
	return isUsable(w) && w.Offers(p.selector.service) && w.HasLabels(p.labels)
}

// withFreeSize returns the workers whose free capacity has at least the given size, least
// free first. With byUnreserved, only the unreserved part counts.
func (p *pool) withFreeSize(least float64) []*worker {
	start := sort.Search(len(p.workers), func(i int) bool {
		if p.selector.byUnreserved {
			return p.workers[i].unreservedSize >= least
		}
		return p.workers[i].freeSize >= least
	})
	return p.workers[start:]
}

// fullest returns the worker with the least free capacity on which the class fits, or
// nil. least is the size of what a task of the class needs.
func (p *pool) fullest(c *equivalenceClass, least float64) *worker {
	for _, w := range p.withFreeSize(least) {
		if c.fitsOn(w) {
			return w
		}
	}
	return nil
}
