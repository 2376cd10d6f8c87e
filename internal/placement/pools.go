package placement

import (
	"maps"
	"slices"
	"sort"
)

// maxIdlePools bounds the pools kept though no waiting task uses them, so
// that a steady stream of like tasks does not build its pool again and again.
const maxIdlePools = 64

// selector names the workers that a class may use, room and spread aside, and
// by which room they are ordered.
type selector struct {
	service, labels string
	// firm orders by worker.unreservedSize, for tasks that cannot be made to leave.
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
	// unschedulable holds the classes to look at when a worker here gains room.
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

// withFreeSize returns the workers that have at least that room, fullest first.
func (p *pool) withFreeSize(least float64) []*worker {
	start := sort.Search(len(p.workers), func(i int) bool {
		if p.selector.byUnreserved {
			return p.workers[i].unreservedSize >= least
		}
		return p.workers[i].freeSize >= least
	})
	return p.workers[start:]
}

// fullest returns the fullest worker that can take a task of the class, or
// nil. least is the room of the class's need.
func (p *pool) fullest(c *equivalenceClass, least float64) *worker {
	for _, w := range p.withFreeSize(least) {
		if c.fitsOn(w) {
			return w
		}
	}
	return nil
}
