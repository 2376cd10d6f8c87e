package placement

import (
	"maps"
	"slices"
	"sort"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/placement/utilization"
)

// worker is a worker incarnation and the open runs on it. workerIndex keeps its sums and
// its place in pools true; other fields name the one who writes them.
type worker struct {
	// What searches read comes first, so that it shares a cache line.
	availability
	// backfillFor is the sub-queue for which the worker is reserved, or nil: what goes
	// after that leaves the worker alone. backfillReservations writes it.
	backfillFor *subQueue
	// restricted is true on probation and while suspect: the worker may take a part of
	// what comes only.
	restricted bool
	// preferred is set while tasks have preferred a label of the worker lately.
	// preferredReserve writes it.
	preferred bool
	// Worker is as last set; only ID is set while known is false.
	Worker
	// known is false while there are only runs held for it.
	known bool
	usage
	// runs are the open runs and the nominated ones. runTable writes it.
	runs map[*run]struct{}
	// slots lie here for reservations. reservationTable writes it.
	slots []*slotSet
	pools []*pool
	// version grows with every change of what is free; cachedVictims is the last answer
	// of victimsFor.
	version       uint64
	cachedVictims victimsResult
	// changed is set while the worker is listed in workerIndex.changed.
	changed bool
}

// availability is what is left on a worker, as of the last change or refresh.
type availability struct {
	// freeSize and unreservedSize are the sizes of free and of unreserved.
	freeSize, unreservedSize float64
	// free is what is left for a task that can be preempted: now, and once the stopping
	// runs have left and the nominated ones have come. It is negative after the capacity
	// shrank.
	free api.Resources
	// profile is what will be left when windows of reserved slots start.
	profile []profilePoint
	// unreserved is the part of free that no reserved slot needs at any time.
	unreserved api.Resources
}

// usage is the sums of what runs take of a worker.
type usage struct {
	// used is what open runs take; stopping the part of it whose runs are asked to stop;
	// nominated what the runs take that were promised targets here; preemptible the part
	// of used that preemption could free.
	used, stopping, nominated, preemptible api.Resources
	// longRunning is the part of used that runs keep until they are cancelled, whatever
	// else waits.
	longRunning api.Resources
}

// workerIndex owns the workers, what is free on them, and their order in pools. Each
// pool is a sorted slice: a search starts where enough is free, and moving a worker is
// one binary search and one copy in each of its pools.
//
// Every change of what is free goes through allocate, deallocate, updateRun or
// updateSlots, which take the worker out of its pools first: they find it by the size
// that it had.
type workerIndex struct {
	byID  map[string]*worker
	pools map[selector]*pool
	// idle counts pools without classes.
	idle int
	// largest is the greatest amount of each dimension that a worker has, by which sizes
	// are normalized; refresh renews it.
	largest api.Resources
	// stale is set when largest must be worked out again.
	stale bool
	// slow counts the workers that are slow, restricted lists those on probation or
	// suspect.
	slow       int
	restricted []*worker
	// changed lists the workers on which more may fit than in the last pass.
	changed []*worker
}

func newWorkerIndex() *workerIndex {
	return &workerIndex{byID: map[string]*worker{}, pools: map[selector]*pool{}}
}

// get returns the worker of that id; a new one is not known yet.
func (x *workerIndex) get(id string) *worker {
	if found, ok := x.byID[id]; ok {
		return found
	}
	made := &worker{Worker: Worker{ID: id}, runs: map[*run]struct{}{}}
	x.byID[id] = made
	return made
}

// find returns the worker of that id, known or not; nil if there is none.
func (x *workerIndex) find(id string) *worker { return x.byID[id] }

// byName returns all workers in the order of their names.
func (x *workerIndex) byName() []*worker {
	return slices.SortedFunc(maps.Values(x.byID), compareName)
}

// anyRestricted reports whether some worker is restricted.
func (x *workerIndex) anyRestricted() bool { return len(x.restricted) > 0 }

// hasFreeCapacity reports whether a task fits on some worker now, spread aside.
func (x *workerIndex) hasFreeCapacity(spec *api.TaskSpec) bool {
	for _, w := range x.byID {
		if isUsable(w) && !w.restricted && fits(spec.Resources, w.unreserved) &&
			w.Offers(spec.Service) && w.HasLabels(spec.Labels) {
			return true
		}
	}
	return false
}

// countUtilization counts the capacity and the usage of all workers anew.
func (x *workerIndex) countUtilization(table *utilization.Table) {
	table.Reset()
	for _, w := range x.byID {
		if w.known {
			table.AddWorker(w.Services, w.Capacity, w.used)
		}
	}
}

// descriptions returns the workers that are known, and those of them that are usable.
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

// set takes over the description of a worker.
func (x *workerIndex) set(w *worker, to Worker) {
	x.leavePools(w)
	x.removeHealthCounts(w)
	to.Services = slices.Clone(to.Services)
	to.Labels = maps.Clone(to.Labels)
	w.Worker, w.known = to, true
	w.restricted = to.Probation || to.Suspect
	x.addHealthCounts(w)
	w.pools = nil
	x.stale = true
	w.rebuildProfile()
	x.updateFree(w)
	for _, p := range x.pools {
		if p.matches(w) {
			w.pools = append(w.pools, p)
			p.version++
		}
	}
	x.enterPools(w)
	x.addChanged(w)
}

// remove forgets a worker that has no runs.
func (x *workerIndex) remove(w *worker) {
	x.leavePools(w)
	x.removeHealthCounts(w)
	w.pools = nil
	// It may still be listed as changed; no slot may go there.
	w.known = false
	x.stale = true
	delete(x.byID, w.ID)
}

// allocate counts a run on its worker.
func (x *workerIndex) allocate(r *run) {
	w := r.worker
	x.leavePools(w)
	w.account(r, allocated)
	x.updateFree(w)
	x.enterPools(w)
}

// deallocate is the reverse of allocate.
func (x *workerIndex) deallocate(r *run) {
	w := r.worker
	x.leavePools(w)
	w.account(r, deallocated)
	x.updateFree(w)
	x.enterPools(w)
}

// updateRun applies a change of the state of a run to the sums of its worker.
func (x *workerIndex) updateRun(r *run, change func()) {
	x.deallocate(r)
	change()
	x.allocate(r)
}

// updateSlots applies a change of the slots on a worker to what is free there.
func (x *workerIndex) updateSlots(w *worker, change func()) {
	x.leavePools(w)
	change()
	w.rebuildProfile()
	x.updateFree(w)
	x.enterPools(w)
}

// updateFree works out what is free on a worker.
func (x *workerIndex) updateFree(w *worker) {
	w.version++
	w.free = w.freeNow()
	if w.stopping != (api.Resources{}) || w.nominated != (api.Resources{}) {
		w.free = resources.Min(w.free, w.freeOnceStopped())
	}
	w.freeSize = resources.NormalizedSize(w.free, x.largest)
	w.unreserved, w.unreservedSize = w.free, w.freeSize
	if len(w.profile) == 0 {
		return
	}
	for i := range w.profile {
		w.unreserved = resources.Min(w.unreserved, w.profile[i].slack)
	}
	w.unreservedSize = resources.NormalizedSize(w.unreserved, x.largest)
}

// addChanged lists a worker for the next pass.
func (x *workerIndex) addChanged(w *worker) {
	if w.changed {
		return
	}
	w.changed = true
	x.changed = append(x.changed, w)
}

// pendingChanges is what takeChanged will return, as it is now.
func (x *workerIndex) pendingChanges() []*worker { return x.changed }

// takeChanged empties the list of changed workers.
func (x *workerIndex) takeChanged() []*worker {
	changed := x.changed
	x.changed = nil
	for _, w := range changed {
		w.changed = false
	}
	return changed
}

// refresh renews the sizes of all workers after the largest changed.
func (x *workerIndex) refresh() {
	if !x.stale {
		return
	}
	x.stale = false
	var largest api.Resources
	for _, w := range x.byID {
		largest = resources.Max(largest, w.Capacity)
	}
	if largest == x.largest {
		return
	}
	x.largest = largest
	for _, w := range x.byID {
		x.updateFree(w)
	}
	for _, p := range x.pools {
		slices.SortFunc(p.workers, p.compare)
	}
}

// maxIdlePools bounds the pools that are retained though no waiting task uses them, so
// that a steady stream of like tasks does not build its pool again and again.
const maxIdlePools = 64

// selector names the workers that a class may use, whatever is free on them, and how
// they are ordered.
type selector struct {
	service, labels string
	// byUnreserved orders by worker.unreservedSize, for tasks that cannot be made to
	// leave.
	byUnreserved bool
}

// pool holds the usable workers that match a selector, fullest first.
type pool struct {
	selector selector
	labels   map[string]string
	workers  []*worker
	compare  func(a, b *worker) int
	// classes counts the classes and reservations that use the pool.
	classes int
	// unschedulable holds the classes to look at when a worker here changed.
	unschedulable map[*equivalenceClass]struct{}
	// version grows when workers come, go or are described anew.
	version uint64
}

// acquire returns the pool of a selector for one more class or reservation.
func (x *workerIndex) acquire(wanted selector, labels map[string]string) *pool {
	p, ok := x.pools[wanted]
	if !ok {
		p = x.build(wanted, maps.Clone(labels))
	} else if p.classes == 0 {
		x.idle--
	}
	p.classes++
	return p
}

// release takes one class off the pool.
func (x *workerIndex) release(p *pool) {
	p.classes--
	if p.classes > 0 {
		return
	}
	x.idle++
	if x.idle > maxIdlePools {
		x.dropIdle()
	}
}

// build makes a pool of the workers there are.
func (x *workerIndex) build(wanted selector, labels map[string]string) *pool {
	p := &pool{selector: wanted, labels: labels, compare: compareFullest, unschedulable: map[*equivalenceClass]struct{}{}}
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

// dropIdle drops the pools that nothing uses.
func (x *workerIndex) dropIdle() {
	for wanted, p := range x.pools {
		if p.classes == 0 {
			delete(x.pools, wanted)
		}
	}
	for _, w := range x.byID {
		w.pools = slices.DeleteFunc(w.pools, func(p *pool) bool { return p.classes == 0 })
	}
	x.idle = 0
}

func (x *workerIndex) enterPools(w *worker) {
	for _, p := range w.pools {
		at, _ := slices.BinarySearchFunc(p.workers, w, p.compare)
		p.workers = slices.Insert(p.workers, at, w)
	}
}

func (x *workerIndex) leavePools(w *worker) {
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

// withFreeSize returns the workers of which at least that size is free, fullest first.
func (p *pool) withFreeSize(least float64) []*worker {
	start := sort.Search(len(p.workers), func(i int) bool {
		if p.selector.byUnreserved {
			return p.workers[i].unreservedSize >= least
		}
		return p.workers[i].freeSize >= least
	})
	return p.workers[start:]
}

// fullest returns the fullest worker on which the class fits, or nil. least is the size
// of what the class needs.
func (p *pool) fullest(c *equivalenceClass, least float64) *worker {
	for _, w := range p.withFreeSize(least) {
		if c.fitsOn(w) {
			return w
		}
	}
	return nil
}
