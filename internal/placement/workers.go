package placement

import (
	"maps"
	"slices"
	"sort"

	"github.com/decklever/decklever/api"
)

// idlePoolsKept bounds the pools kept though no waiting task uses them, so
// that a steady stream of like tasks does not build its pool again and again.
const idlePoolsKept = 64

// worker is a worker incarnation and the open runs on it.
type worker struct {
	// Worker is as last set; only ID is set while known is false.
	Worker
	// known is false while there are only runs held for it.
	known bool
	used  api.Resources
	// free is Capacity less used; negative after the capacity shrank.
	free api.Resources
	// room is roomOf(free) as of the last change or reorder.
	room  float64
	runs  map[*run]struct{}
	pools []*pool
	// changed marks that the worker is listed in workerIndex.changed.
	changed bool
}

// selector names the workers that a class may use, room and spread aside.
type selector struct{ service, labels string }

// pool holds the usable workers that match a selector, fullest first.
type pool struct {
	selector selector
	labels   map[string]string
	workers  []*worker
	// classes counts the classes that use the pool.
	classes int
	// blocked holds the classes to look at when a worker here gains room.
	blocked map[*class]struct{}
}

// workerIndex finds the fullest worker that fits. Each pool is a sorted slice:
// a search starts where enough room begins, and moving a worker is one binary
// search and one copy.
type workerIndex struct {
	byID  map[string]*worker
	pools map[selector]*pool
	// idle counts pools without classes.
	idle int
	// largest is the measure of room; it is renewed by refresh.
	largest api.Resources
	// stale is set when largest must be worked out again.
	stale bool
	// changed lists the workers that may have gained room since the last pass.
	changed []*worker
}

func newWorkerIndex() workerIndex {
	return workerIndex{byID: map[string]*worker{}, pools: map[selector]*pool{}}
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

// set takes over what is known of the worker.
func (x *workerIndex) set(w *worker, to Worker) {
	x.leavePools(w)
	to.Services = slices.Clone(to.Services)
	to.Labels = maps.Clone(to.Labels)
	w.Worker, w.known = to, true
	w.pools = nil
	x.stale = true
	x.measure(w)
	for _, p := range x.pools {
		if p.matches(w) {
			w.pools = append(w.pools, p)
		}
	}
	x.enterPools(w)
	x.markChanged(w)
}

func (x *workerIndex) remove(w *worker) {
	x.leavePools(w)
	w.pools = nil
	x.stale = true
	delete(x.byID, w.ID)
}

// take changes the room used on the worker; a negative amount gives it back.
func (x *workerIndex) take(w *worker, amount api.Resources) {
	x.leavePools(w)
	w.used = w.used.Add(amount)
	x.measure(w)
	x.enterPools(w)
}

func (x *workerIndex) measure(w *worker) {
	w.free = w.Capacity.Sub(w.used)
	w.room = roomOf(w.free, x.largest)
}

func (x *workerIndex) markChanged(w *worker) {
	if w.changed {
		return
	}
	w.changed = true
	x.changed = append(x.changed, w)
}

// takeChanged empties the list of changed workers.
func (x *workerIndex) takeChanged() []*worker {
	changed := x.changed
	x.changed = nil
	for _, w := range changed {
		w.changed = false
	}
	return changed
}

// refresh renews the measure of room after workers came, went or changed.
func (x *workerIndex) refresh() {
	if !x.stale {
		return
	}
	x.stale = false
	var largest api.Resources
	for _, w := range x.byID {
		largest = largestOf(largest, w.Capacity)
	}
	if largest == x.largest {
		return
	}
	x.largest = largest
	for _, w := range x.byID {
		x.measure(w)
	}
	for _, p := range x.pools {
		slices.SortFunc(p.workers, compareFullest)
	}
}

func (x *workerIndex) enterPools(w *worker) {
	for _, p := range w.pools {
		at, _ := slices.BinarySearchFunc(p.workers, w, compareFullest)
		p.workers = slices.Insert(p.workers, at, w)
	}
}

func (x *workerIndex) leavePools(w *worker) {
	for _, p := range w.pools {
		at, found := slices.BinarySearchFunc(p.workers, w, compareFullest)
		if found {
			p.workers = slices.Delete(p.workers, at, at+1)
		}
	}
}

// acquire returns the pool of a spec for one more class.
func (x *workerIndex) acquire(spec *api.TaskSpec) *pool {
	wanted := selector{service: spec.Service, labels: canonicalLabels(spec.Labels)}
	p, ok := x.pools[wanted]
	if !ok {
		p = x.build(wanted, maps.Clone(spec.Labels))
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
	if x.idle > idlePoolsKept {
		x.dropIdle()
	}
}

func (x *workerIndex) build(wanted selector, labels map[string]string) *pool {
	p := &pool{selector: wanted, labels: labels, blocked: map[*class]struct{}{}}
	x.pools[wanted] = p
	for _, w := range x.byID {
		if p.matches(w) {
			w.pools = append(w.pools, p)
			p.workers = append(p.workers, w)
		}
	}
	slices.SortFunc(p.workers, compareFullest)
	return p
}

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

func (p *pool) matches(w *worker) bool {
	return isUsable(w) && offersService(&w.Worker, p.selector.service) && hasLabels(&w.Worker, p.labels)
}

// fullest returns the fullest worker that can take a task of the class, or
// nil. least is the room of the class's need.
func (p *pool) fullest(c *class, least float64) *worker {
	start := sort.Search(len(p.workers), func(i int) bool { return p.workers[i].room >= least })
	for _, w := range p.workers[start:] {
		if c.fitsOn(w) {
			return w
		}
	}
	return nil
}
