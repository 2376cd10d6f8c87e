package placement

import (
	"cmp"
	"math"
	"slices"

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

// preemptor chooses runs that make room for others, and owns which were asked to stop.
// What a run takes is counted until it was released: a preempted run stops at its own
// pace.
type preemptor struct {
	// requested are the preemptions since takeRequested was last called.
	requested []Preemption
	// retries are the sub-queues that get another attempt later.
	retries preemptionRetries

	runs    *runTable
	workers *workerIndex
}

// request records that the victims of a nomination are to be stopped.
func (p *preemptor) request(victims []Preemption) { p.requested = append(p.requested, victims...) }

// takeRequested returns and forgets the runs to stop, without those that ended since.
func (p *preemptor) takeRequested() []Preemption {
	requested := slices.DeleteFunc(p.requested, func(asked Preemption) bool {
		r, open := p.runs.open[asked.Task]
		return !open || !r.stopping
	})
	p.requested = nil
	return requested
}

// stop marks runs as asked to stop for a task.
func (p *preemptor) stop(victims []*run, beneficiary record.TaskID) []Preemption {
	asked := make([]Preemption, 0, len(victims))
	for _, r := range victims {
		p.setStopping(r, true)
		asked = append(asked, Preemption{Task: r.task, WorkerID: r.worker.ID, Beneficiary: beneficiary})
	}
	return asked
}

func (p *preemptor) setStopping(r *run, stopping bool) {
	p.workers.updateRun(r, func() { r.stopping = stopping })
}

// allowance is what a pass may still spend.
type allowance struct{ preemptions, reserved, attempts, gangAttempts int }

func newAllowance() allowance {
	return allowance{
		preemptions: maxPreemptionsPerPass, reserved: maxReservedPreemptionsPerPass,
		attempts: maxPreemptionAttemptsPerPass, gangAttempts: maxGangPreemptionAttemptsPerPass,
	}
}

// preemptOrBlock promises the lane's first task room that preemption makes, or
// takes the lane out of this and later passes.
func (p *pass) preemptOrBlock(sub *subQueue) {
	if sub.class.key.waitsForPreferred {
		sub.mayPreemptNow = false
		sub.class.setUnschedulable()
		sub.deactivate()
		return
	}
	first := sub.tasks[0]
	found, later := p.findVictims(sub.class, sub.parent.level.priority)
	if later {
		sub.deactivate()
		p.engine.preemptor.retries.addOverAllowance(sub)
		return
	}
	if !found.possible() {
		sub.mayPreemptNow = false
		sub.class.setUnschedulable()
		sub.deactivate()
		p.engine.preemptor.retries.add(sub)
		return
	}
	p.allowance.spend(&found)
	victims := p.engine.preemptor.stop(found.victims, first.ID)
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
	best = c.chooseReservedSlot()
	if best.possible() {
		return best, len(best.victims) > p.allowance.reserved
	}
	if !p.engine.runs.anyPreemptible(priority) || p.allowance.attempts == 0 {
		return preemptionChoice{}, false
	}
	best = p.engine.preemptor.chooseByPriority(c, priority)
	if !best.possible() {
		p.allowance.attempts--
	}
	if len(best.victims) > p.allowance.preemptions {
		return preemptionChoice{}, true
	}
	return best, false
}

func (c *preemptionChoice) improve(other preemptionChoice) {
	if !c.possible() || other.before(c) {
		*c = other
	}
}

// chooseReservedSlot finds an open slice whose room preemptible runs have.
func (c *equivalenceClass) chooseReservedSlot() preemptionChoice {
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
func (p *preemptor) chooseByPriority(c *equivalenceClass, priority int) preemptionChoice {
	var best preemptionChoice
	for _, w := range c.pool.workers {
		if w.restricted || !withinSpread(c.spread, &w.Worker) || !c.fitsBesideReservedSlots(w) {
			continue
		}
		if victims, ok := w.victimsFor(c.key.need, priority); ok {
			best.improve(preemptionChoice{to: placementTarget{worker: w}, victims: victims})
		}
		if best.possible() && len(best.victims) <= 1 && !p.runs.anyPreemptible(best.highest()) {
			return best
		}
	}
	return best
}
