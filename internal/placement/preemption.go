package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// Bounds of what one pass spends on preemption; what does not fit in is tried in later
// passes.
const (
	maxPreemptionsPerPass = 64
	// Work in reserved slots has its own bound: the tasks of a window come all at once.
	maxReservedPreemptionsPerPass = 256
	// An attempt may look at all workers, that of a gang many times; of single tasks
	// only attempts that find nothing count.
	maxPreemptionAttemptsPerPass     = 16
	maxGangPreemptionAttemptsPerPass = 1
)

// anyPriority lets work in reserved slots preempt whatever is preemptible.
const anyPriority = math.MaxInt

// preemptor chooses runs that make way for others, and owns which were asked to stop.
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
	requested := slices.DeleteFunc(p.requested, func(request Preemption) bool {
		r, open := p.runs.open[request.Task]
		return !open || !r.stopping
	})
	p.requested = nil
	return requested
}

// stop records that runs are asked to stop for a task.
func (p *preemptor) stop(victims []*run, beneficiary record.TaskID) []Preemption {
	requests := make([]Preemption, 0, len(victims))
	for _, r := range victims {
		p.setStopping(r, true)
		requests = append(requests, Preemption{Task: r.task, WorkerID: r.worker.ID, Beneficiary: beneficiary})
	}
	return requests
}

// setStopping records it of one run, or takes it back.
func (p *preemptor) setStopping(r *run, stopping bool) {
	p.workers.updateRun(r, func() { r.stopping = stopping })
}

// allowance is what a pass may still spend on preemption: victims, those for reserved
// slots, attempts, and attempts of gangs.
type allowance struct{ preemptions, reserved, attempts, gangAttempts int }

func newAllowance() allowance {
	return allowance{
		preemptions: maxPreemptionsPerPass, reserved: maxReservedPreemptionsPerPass,
		attempts: maxPreemptionAttemptsPerPass, gangAttempts: maxGangPreemptionAttemptsPerPass,
	}
}

// preemptOrBlock nominates the first task of the sub-queue for what preemption makes
// free, or takes the sub-queue out of this and later passes.
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

// spend takes the victims of a choice off.
func (a *allowance) spend(c *preemptionChoice) {
	if c.to.slot != nil {
		a.reserved -= len(c.victims)
		return
	}
	a.preemptions -= len(c.victims)
}

// preemptionChoice is a target and the runs that must stop for it; without a target it
// is not possible.
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

// findVictims finds the best target that preemption makes for a task; later tells that
// the pass has no allowance left for it.
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

// improve takes over the other choice if that is better.
func (c *preemptionChoice) improve(other preemptionChoice) {
	if !c.possible() || other.before(c) {
		*c = other
	}
}

// chooseReservedSlot finds a free slot on a worker whose capacity preemptible runs have.
// The search ends with the first that needs one victim at most.
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

// chooseByPriority finds a worker on which runs of a lower priority can make way. The
// search ends early once no choice could be better: one victim at most, and of the
// lowest priority there is.
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

// minRetryCompaction is the least length at which preemptionRetries drops sub-queues
// without tasks.
const minRetryCompaction = 256

// preemptionRetries owns the unschedulable sub-queues that get another attempt to
// preempt, since runs that could make way for them may have started meanwhile. Each
// pass takes some of them in turn, so that its cost does not grow with their number.
type preemptionRetries struct {
	// waiting are in the order in which they get their attempt.
	waiting []*subQueue
	// overAllowance are those for which the last pass had no allowance left.
	overAllowance []*subQueue
}

// add lists a sub-queue for another attempt.
func (r *preemptionRetries) add(sub *subQueue) {
	if sub.inPreemptRetries {
		return
	}
	if len(r.waiting) >= minRetryCompaction && len(r.waiting) == cap(r.waiting) {
		r.waiting = slices.DeleteFunc(r.waiting, func(sub *subQueue) bool { return len(sub.tasks) == 0 })
	}
	sub.inPreemptRetries = true
	r.waiting = append(r.waiting, sub)
}

// addOverAllowance lists a sub-queue that is to be looked at in the next pass.
func (r *preemptionRetries) addOverAllowance(sub *subQueue) {
	r.overAllowance = append(r.overAllowance, sub)
}

// activate lets the pass look at what the last one had no allowance for, and at some of
// those that may preempt by now, in turn.
func (r *preemptionRetries) activate(runs *runTable) {
	r.activateOverAllowance()
	if len(runs.preemptible) == 0 {
		return
	}
	count := min(maxPreemptionAttemptsPerPass, len(r.waiting))
	turn := slices.Clone(r.waiting[:count])
	r.waiting = slices.Delete(r.waiting, 0, count)
	for _, sub := range turn {
		sub.inPreemptRetries = false
		switch {
		case len(sub.tasks) == 0:
		case !runs.anyPreemptible(sub.parent.level.priority):
			r.add(sub)
		default:
			sub.mayPreemptNow = true
			sub.Activate()
		}
	}
}

func (r *preemptionRetries) activateOverAllowance() {
	unfinished := r.overAllowance
	r.overAllowance = nil
	for _, sub := range unfinished {
		if len(sub.tasks) > 0 {
			sub.mayPreemptNow = sub.class == nil || sub.class.unschedulable
			sub.Activate()
		}
	}
}

// gangPreemption is an attempt to preempt for a gang: the targets of its members, as
// nominated runs, and the runs that would have to stop. All of it can be undone.
type gangPreemption struct {
	finder    *targetFinder
	preemptor *preemptor
	runTable  *runTable

	members []*waiting
	runs    []*run
	victims []Preemption
	stopped []*run
	spent   allowance
}

// preemptForGang nominates all members of a gang that finds too little, or leaves all as
// it was. It always lets the pass go on.
func (p *pass) preemptForGang(sub *subQueue) bool {
	e := p.engine
	priority := sub.parent.level.priority
	e.preemptor.retries.add(sub)
	if !e.runs.anyPreemptible(priority) && !sub.mayUseReservedSlots() {
		return true
	}
	if p.allowance.gangAttempts == 0 || !sub.couldPreempt() {
		return true
	}
	p.allowance.gangAttempts--
	t := &gangPreemption{
		finder: e.finder, preemptor: e.preemptor, runTable: e.runs,
		members: e.finder.placementOrder(sub.tasks), spent: p.allowance,
	}
	if !t.nominateAll(priority) {
		t.undo()
		return true
	}
	p.allowance = t.spent
	e.nominate(t.members, t.runs, t.victims)
	return true
}

// mayUseReservedSlots reports whether slots are reserved for some member.
func (sub *subQueue) mayUseReservedSlots() bool {
	for _, m := range sub.members {
		if len(m.class.reservations) > 0 {
			return true
		}
	}
	return false
}

// couldPreempt reports whether each class would fit often enough if all preemptible runs
// stopped; a cheap bound before an attempt.
func (sub *subQueue) couldPreempt() bool {
	for _, m := range sub.members {
		if m.class.fitCountWithPreemption(m.count) < m.count {
			return false
		}
	}
	return true
}

// nominateAll finds a target for each member, or stops at the first without.
func (t *gangPreemption) nominateAll(priority int) bool {
	for _, member := range t.members {
		if !t.nominateMember(member, priority) {
			return false
		}
	}
	return true
}

// nominateMember finds a target that is free, else the best that preemption makes. It
// returns false also once the allowance is used up.
func (t *gangPreemption) nominateMember(member *waiting, priority int) bool {
	c := member.class
	var chosen preemptionChoice
	if to, found := t.finder.findTarget(member); found {
		chosen.to = to
	} else {
		chosen = c.chooseReservedSlot()
	}
	if !chosen.possible() {
		chosen = t.preemptor.chooseByPriority(c, priority)
	}
	if !chosen.possible() {
		return false
	}
	t.spent.spend(&chosen)
	t.victims = append(t.victims, t.preemptor.stop(chosen.victims, member.ID)...)
	t.stopped = append(t.stopped, chosen.victims...)
	t.runs = append(t.runs, t.runTable.nominate(&member.Task, chosen.to))
	return t.spent.preemptions >= 0 && t.spent.reserved >= 0
}

// undo leaves all as it was before the attempt.
func (t *gangPreemption) undo() {
	for _, r := range t.runs {
		t.runTable.close(r)
	}
	for _, r := range t.stopped {
		t.preemptor.setStopping(r, false)
	}
}
