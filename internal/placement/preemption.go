package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// Bounds of what one pass spends on preemption; what does not fit in is tried
// in later passes.
const (
	maxPreemptionsPerPass = 64
	// Booked work has its own bound: a window's tasks come all at once.
	maxReservedPreemptionsPerPass = 256
	// A trial may look at all workers, that of a group many times; only trials
	// of single tasks that find nothing count.
	maxPreemptionAttemptsPerPass     = 16
	maxGangPreemptionAttemptsPerPass = 1
)

// anyPriority lets booked work preempt whatever is preemptible.
const anyPriority = math.MaxInt

// allowance is what a pass may still spend.
type allowance struct{ preemptions, reserved, attempts, gangAttempts int }

func newAllowance() allowance {
	return allowance{
		preemptions: maxPreemptionsPerPass, reserved: maxReservedPreemptionsPerPass,
		attempts: maxPreemptionAttemptsPerPass, gangAttempts: maxGangPreemptionAttemptsPerPass,
	}
}

// Preemptions implements Booker.
func (e *Engine) Preemptions() []Preemption {
	asked := slices.DeleteFunc(e.preemptions, func(p Preemption) bool {
		r, open := e.runs.open[p.Task]
		return !open || !r.stopping
	})
	e.preemptions = nil
	return asked
}

// preemptOrBlock promises the lane's first task room that preemption makes, or
// takes the lane out of this and later passes.
func (p *pass) preemptOrBlock(l *subQueue) {
	if l.class.key.waitsForPreferred {
		l.mayPreemptNow = false
		l.class.setUnschedulable()
		l.deactivate()
		return
	}
	first := l.tasks[0]
	found, later := p.findVictims(l.class, l.parent.level.priority)
	if later {
		l.deactivate()
		p.engine.overAllowance = append(p.engine.overAllowance, l)
		return
	}
	if !found.possible() {
		l.mayPreemptNow = false
		l.class.setUnschedulable()
		l.deactivate()
		p.engine.addPreemptRetry(l)
		return
	}
	p.allowance.spend(&found)
	victims := p.engine.stop(found.victims, first.ID)
	r := p.engine.runs.nominate(&first.Task, found.to)
	p.engine.nominate([]*waiting{first}, []*run{r}, victims)
}

func (a *allowance) spend(c *preemptionChoice) {
	if c.to.slot != nil {
		a.reserved -= len(c.victims)
		return
	}
	a.preemptions -= len(c.victims)
}

// stop marks runs as asked to stop for a task.
func (e *Engine) stop(victims []*run, beneficiary record.TaskID) []Preemption {
	asked := make([]Preemption, 0, len(victims))
	for _, r := range victims {
		e.setStopping(r, true)
		asked = append(asked, Preemption{Task: r.task, WorkerID: r.worker.ID, Beneficiary: beneficiary})
	}
	return asked
}

func (e *Engine) setStopping(r *run, stopping bool) {
	e.workers.updateRun(r, func() { r.stopping = stopping })
}

// preemptionChoice is a seat and the runs that must stop for it.
type preemptionChoice struct {
	to      placementTarget
	victims []*run
}

func (c *preemptionChoice) possible() bool { return c.to.worker != nil }

// highest is the highest priority of the victims.
func (c *preemptionChoice) highest() int {
	highest := math.MinInt
	for _, r := range c.victims {
		highest = max(highest, r.priority)
	}
	return highest
}

// before orders choices: fewest victims, lowest priority, fullest worker.
func (c *preemptionChoice) before(other *preemptionChoice) bool {
	return cmp.Or(
		cmp.Compare(len(c.victims), len(other.victims)),
		cmp.Compare(c.highest(), other.highest()),
		compareFullest(c.to.worker, other.to.worker),
	) < 0
}

// findVictims finds the best seat that preemption makes for a task; later tells
// that the pass has no allowance left for it.
func (p *pass) findVictims(c *equivalenceClass, priority int) (best preemptionChoice, later bool) {
	best = p.engine.chooseReservedSlot(c)
	if best.possible() {
		return best, len(best.victims) > p.allowance.reserved
	}
	if !p.engine.runs.anyPreemptible(priority) || p.allowance.attempts == 0 {
		return preemptionChoice{}, false
	}
	best = p.engine.chooseByPriority(c, priority)
	if !best.possible() {
		p.allowance.attempts--
	}
	if len(best.victims) > p.allowance.preemptions {
		return preemptionChoice{}, true
	}
	return best, false
}

// chooseReservedSlot finds an open slice whose room preemptible runs have.
func (e *Engine) chooseReservedSlot(c *equivalenceClass) preemptionChoice {
	var best preemptionChoice
	for _, r := range c.reservations {
		for _, s := range r.slots {
			if !c.canEnterSlot(s) {
				continue
			}
			if victims, ok := s.worker.victimsFor(c.key.need, anyPriority); ok {
				best.improve(preemptionChoice{to: placementTarget{worker: s.worker, slot: s}, victims: victims})
			}
			if best.possible() && len(best.victims) <= 1 {
				return best
			}
		}
	}
	return best
}

// chooseByPriority finds a worker on which runs of lower priority can make room.
func (e *Engine) chooseByPriority(c *equivalenceClass, priority int) preemptionChoice {
	var best preemptionChoice
	for _, w := range c.pool.workers {
		if w.restricted || !withinSpread(c.spread, &w.Worker) || !c.fitsBesideReservedSlots(w) {
			continue
		}
		if victims, ok := w.victimsFor(c.key.need, priority); ok {
			best.improve(preemptionChoice{to: placementTarget{worker: w}, victims: victims})
		}
		if best.possible() && len(best.victims) <= 1 && !e.runs.anyPreemptible(best.highest()) {
			return best
		}
	}
	return best
}

func (c *preemptionChoice) improve(other preemptionChoice) {
	if !c.possible() || other.before(c) {
		*c = other
	}
}

// fitsBesideReservedSlots reports whether the class fits beside slices and the runs that
// cannot be made to leave.
func (c *equivalenceClass) fitsBesideReservedSlots(w *worker) bool {
	if c.key.preemptible {
		return true
	}
	end := forever
	if c.key.duration > 0 {
		end = c.clock.now + c.key.duration
	}
	slack, bound := w.slackUntil(end)
	return !bound || fits(c.key.need, slack)
}

// victimsResult is the answer to a call of victimsFor.
type victimsResult struct {
	version uint64
	need    api.Resources
	below   int
	victims []*run
	found   bool
}

// victimsFor is chooseVictims, worked out once until the worker's room changes:
// many tasks of one shape ask all workers in turn.
func (w *worker) victimsFor(need api.Resources, below int) ([]*run, bool) {
	last := &w.cachedVictims
	if last.version != w.version || last.need != need || last.below != below {
		victims, found := w.chooseVictims(need, below)
		*last = victimsResult{version: w.version, need: need, below: below, victims: victims, found: found}
	}
	return last.victims, last.found
}

// chooseVictims returns the runs below a priority that must stop so that need
// fits once they and those asked before are gone; none if those asked before
// are enough. One or two victims are the cheapest of that number; of more, the
// largest are taken first and those not needed left out, so that there may be a
// smaller set.
func (w *worker) chooseVictims(need api.Resources, below int) ([]*run, bool) {
	room := w.freeOnceStopped()
	if fits(need, room) {
		return nil, true
	}
	if !fits(need, room.Add(w.preemptible)) {
		return nil, false
	}
	var candidates []*run
	for r := range w.runs {
		if r.mayBeVictim() && r.priority < below {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, compareCheapest)
	enough := func(victims ...*run) bool {
		sum := room
		for _, r := range victims {
			sum = sum.Add(r.need)
		}
		return fits(need, sum)
	}
	for _, r := range candidates {
		if enough(r) {
			return []*run{r}, true
		}
	}
	// The dearer one decides, so its loop is the outer one.
	for i, dearer := range candidates {
		for _, cheaper := range candidates[:i] {
			if enough(cheaper, dearer) {
				return []*run{cheaper, dearer}, true
			}
		}
	}
	return largestFirst(candidates, resources.Lacking(need, room), enough)
}

// largestFirst takes the victims that give most of what is lacking, then
// leaves out the dearest that are not needed.
func largestFirst(candidates []*run, lacks api.Resources, enough func(...*run) bool) ([]*run, bool) {
	if !enough(candidates...) {
		return nil, false
	}
	bySize := slices.Clone(candidates)
	slices.SortStableFunc(bySize, func(a, b *run) int {
		return cmp.Compare(resources.NormalizedSize(resources.Min(b.need, lacks), lacks), resources.NormalizedSize(resources.Min(a.need, lacks), lacks))
	})
	count := 1
	for !enough(bySize[:count]...) {
		count++
	}
	chosen := bySize[:count]
	slices.SortFunc(chosen, compareCheapest)
	for at := len(chosen) - 1; at >= 0; at-- {
		without := slices.Delete(slices.Clone(chosen), at, at+1)
		if enough(without...) {
			chosen = without
		}
	}
	return chosen, true
}

// compareCheapest orders victims: lowest priority first, then the youngest.
func compareCheapest(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(b.started, a.started),
		compareTask(a.task, b.task),
	)
}
