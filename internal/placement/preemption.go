package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// Bounds on the preemption that one pass does; what exceeds them is tried in later
// passes.
const (
	maxPreemptionsPerPass = 64
	// Preemptions for reserved slots have a bound of their own, because the tasks of a
	// window start all at once.
	maxReservedPreemptionsPerPass = 256
	// An attempt may visit all workers, the attempt of a gang many times. For single
	// tasks only attempts that find no victims count.
	maxPreemptionAttemptsPerPass     = 16
	maxGangPreemptionAttemptsPerPass = 1
)

// anyPriority lets tasks in reserved slots preempt preemptible runs of any priority.
const anyPriority = math.MaxInt

// preemptor chooses the runs to preempt, and owns the record of those that were asked to
// stop. The resources of a preempted run stay allocated until its release, because it
// stops at its own pace.
type preemptor struct {
	// requested are the preemptions since the last call of takeRequested.
	requested []Preemption
	// retries are the sub-queues that get another attempt later.
	retries preemptionRetries

	runs    *runTable
	workers *workerIndex
}

// request records that the victims of a nomination are to be stopped.
func (p *preemptor) request(victims []Preemption) { p.requested = append(p.requested, victims...) }

// takeRequested returns and clears the requested preemptions, without runs that have
// ended since.
func (p *preemptor) takeRequested() []Preemption {
	requested := slices.DeleteFunc(p.requested, func(request Preemption) bool {
		r, open := p.runs.open[request.Task]
		return !open || !r.stopping
	})
	p.requested = nil
	return requested
}

// stop marks runs as stopping, and returns the preemptions to request for the
// beneficiary.
func (p *preemptor) stop(victims []*run, beneficiary record.TaskID) []Preemption {
	requests := make([]Preemption, 0, len(victims))
	for _, r := range victims {
		p.setStopping(r, true)
		requests = append(requests, Preemption{Task: r.task, WorkerID: r.worker.ID, Beneficiary: beneficiary})
	}
	return requests
}

// setStopping marks a run as stopping, or undoes that.
func (p *preemptor) setStopping(r *run, stopping bool) {
	p.workers.updateRun(r, func() { r.stopping = stopping })
}

// allowance is what a pass may still spend on preemption: victims, victims for reserved
// slots, attempts for single tasks, and attempts for gangs.
type allowance struct{ preemptions, reserved, attempts, gangAttempts int }

func newAllowance() allowance {
	return allowance{
		preemptions: maxPreemptionsPerPass, reserved: maxReservedPreemptionsPerPass,
		attempts: maxPreemptionAttemptsPerPass, gangAttempts: maxGangPreemptionAttemptsPerPass,
	}
}

// preemptOrDeactivate nominates the first task of the sub-queue for capacity that preemption
// will free. If that is not possible it deactivates the sub-queue: until the next pass if
// the allowance is too small for the victims, else until its class is activated or its
// next retry.
func (p *pass) preemptOrDeactivate(sub *subQueue) {
	if sub.class.key.waitsForPreferred {
		sub.mayPreemptNow = false
		sub.class.setUnschedulable()
		sub.deactivate()
		return
	}
	first := sub.tasks[0]
	choice, overAllowance := p.findVictims(sub.class, sub.parent.level.priority)
	if overAllowance {
		sub.deactivate()
		p.engine.preemptor.retries.addOverAllowance(sub)
		return
	}
	if !choice.possible() {
		sub.mayPreemptNow = false
		sub.class.setUnschedulable()
		sub.deactivate()
		p.engine.preemptor.retries.add(sub)
		return
	}
	p.allowance.spend(&choice)
	victims := p.engine.preemptor.stop(choice.victims, first.ID)
	r := p.engine.runs.nominate(&first.Task, choice.target)
	p.engine.nominate([]*waitingTask{first}, []*run{r}, victims)
}

// spend subtracts the victims of a choice.
func (a *allowance) spend(c *preemptionChoice) {
	if c.target.slot != nil {
		a.reserved -= len(c.victims)
		return
	}
	a.preemptions -= len(c.victims)
}

// preemptionChoice is a target and the runs that must stop for it. Without a target,
// preemption is not possible.
type preemptionChoice struct {
	target  placementTarget
	victims []*run
}

func (c *preemptionChoice) possible() bool { return c.target.worker != nil }

// highestPriority returns the highest priority of the victims.
func (c *preemptionChoice) highestPriority() int {
	highest := math.MinInt
	for _, r := range c.victims {
		highest = max(highest, r.priority)
	}
	return highest
}

// isBetterThan prefers fewer victims, then the lower highest priority of the victims,
// then the fuller worker.
func (c *preemptionChoice) isBetterThan(other *preemptionChoice) bool {
	return cmp.Or(
		cmp.Compare(len(c.victims), len(other.victims)),
		cmp.Compare(c.highestPriority(), other.highestPriority()),
		compareFullest(c.target.worker, other.target.worker),
	) < 0
}

// findVictims returns the best target that preemption can free for a task; none if there
// is no such target or the attempts are used up. overAllowance is set if the target needs
// more victims than the pass may still preempt.
func (p *pass) findVictims(c *equivalenceClass, priority int) (best preemptionChoice, overAllowance bool) {
	best = c.chooseReservedSlot()
	if best.possible() {
		return best, len(best.victims) > p.allowance.reserved
	}
	if !p.engine.runs.hasPreemptibleBelow(priority) || p.allowance.attempts == 0 {
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

// improve replaces the choice by the other one if that is better.
func (c *preemptionChoice) improve(other preemptionChoice) {
	if !c.possible() || other.isBetterThan(c) {
		*c = other
	}
}

// chooseReservedSlot returns the best free slot that tasks of the class may use, on a worker
// where preempting runs of any priority frees the capacity. The search ends at the first
// that needs at most one victim.
func (c *equivalenceClass) chooseReservedSlot() preemptionChoice {
	var best preemptionChoice
	for _, r := range c.reservations {
		for _, s := range r.slots {
			if !c.canEnterSlot(s) {
				continue
			}
			if victims, ok := s.worker.victimsFor(c.key.need, anyPriority); ok {
				best.improve(preemptionChoice{target: placementTarget{worker: s.worker, slot: s}, victims: victims})
			}
			if best.possible() && len(best.victims) <= 1 {
				return best
			}
		}
	}
	return best
}

// chooseByPriority returns the best worker on which preempting runs of a lower priority
// frees the capacity. The search ends early once no choice could be better: it needs at
// most one victim, and no preemptible run has a lower priority.
func (p *preemptor) chooseByPriority(c *equivalenceClass, priority int) preemptionChoice {
	var best preemptionChoice
	for _, w := range c.pool.workers {
		if w.restricted || !withinSpread(c.spread, &w.Worker) || !c.fitsBesideReservedSlots(w) {
			continue
		}
		if victims, ok := w.victimsFor(c.key.need, priority); ok {
			best.improve(preemptionChoice{target: placementTarget{worker: w}, victims: victims})
		}
		if best.possible() && len(best.victims) <= 1 && !p.runs.hasPreemptibleBelow(best.highestPriority()) {
			return best
		}
	}
	return best
}

// minRetryCompaction is the minimum length at which preemptionRetries drops sub-queues
// without tasks.
const minRetryCompaction = 256

// preemptionRetries owns the list of sub-queues that get another attempt to preempt,
// because runs that they could preempt may have started since the last one. Each pass
// activates some of them in turn, so that its cost does not grow with their number.
type preemptionRetries struct {
	// waiting are the sub-queues in the order of their next attempts.
	waiting []*subQueue
	// overAllowance are the sub-queues whose victims exceeded the allowance of the last
	// pass.
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

// addOverAllowance lists a sub-queue for the next pass.
func (r *preemptionRetries) addOverAllowance(sub *subQueue) {
	r.overAllowance = append(r.overAllowance, sub)
}

// activate makes the pass retry the sub-queues that exceeded the allowance of the last
// pass. If there are preemptible runs, it also retries the next sub-queues of waiting.
func (r *preemptionRetries) activate(runs *runTable) {
	r.activateOverAllowance()
	if len(runs.preemptible) == 0 {
		return
	}
	count := min(maxPreemptionAttemptsPerPass, len(r.waiting))
	batch := slices.Clone(r.waiting[:count])
	r.waiting = slices.Delete(r.waiting, 0, count)
	for _, sub := range batch {
		sub.inPreemptRetries = false
		switch {
		case len(sub.tasks) == 0:
		case !runs.hasPreemptibleBelow(sub.parent.level.priority):
			r.add(sub)
		default:
			sub.mayPreemptNow = true
			sub.Activate()
		}
	}
}

func (r *preemptionRetries) activateOverAllowance() {
	activated := r.overAllowance
	r.overAllowance = nil
	for _, sub := range activated {
		if len(sub.tasks) > 0 {
			sub.mayPreemptNow = sub.class == nil || sub.class.unschedulable
			sub.Activate()
		}
	}
}

// gangPreemption is an attempt to preempt for a gang: the targets of its members, as
// nominated runs, and the runs that would have to stop. undo reverts it.
type gangPreemption struct {
	finder    *targetFinder
	preemptor *preemptor
	runTable  *runTable

	members []*waitingTask
	runs    []*run
	victims []Preemption
	stopped []*run
	spent   allowance
}

// preemptForGang nominates all members of a gang that found too little capacity, or
// changes nothing. It always returns true: the pass continues.
func (p *pass) preemptForGang(sub *subQueue) bool {
	e := p.engine
	priority := sub.parent.level.priority
	e.preemptor.retries.add(sub)
	if !e.runs.hasPreemptibleBelow(priority) && !sub.mayUseReservedSlots() {
		return true
	}
	if p.allowance.gangAttempts == 0 || !sub.couldPreempt() {
		return true
	}
	p.allowance.gangAttempts--
	attempt := &gangPreemption{
		finder: e.finder, preemptor: e.preemptor, runTable: e.runs,
		members: e.finder.placementOrder(sub.tasks), spent: p.allowance,
	}
	if !attempt.nominateAll(priority) {
		attempt.undo()
		return true
	}
	p.allowance = attempt.spent
	e.nominate(attempt.members, attempt.runs, attempt.victims)
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

// couldPreempt reports whether enough tasks of each class would fit if all preemptible
// runs stopped. It is a cheap check before an attempt.
func (sub *subQueue) couldPreempt() bool {
	for _, m := range sub.members {
		if m.class.fitCountWithPreemption(m.count) < m.count {
			return false
		}
	}
	return true
}

// nominateAll nominates all members. It returns false at the first member that cannot be
// nominated.
func (t *gangPreemption) nominateAll(priority int) bool {
	for _, member := range t.members {
		if !t.nominateMember(member, priority) {
			return false
		}
	}
	return true
}

// nominateMember nominates a member for a target that is free now, else for the best one
// that preemption frees. It returns false if there is none or the allowance is exceeded.
func (t *gangPreemption) nominateMember(member *waitingTask, priority int) bool {
	c := member.class
	var chosen preemptionChoice
	if target, found := t.finder.findTarget(member); found {
		chosen.target = target
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
	t.runs = append(t.runs, t.runTable.nominate(&member.Task, chosen.target))
	return t.spent.preemptions >= 0 && t.spent.reserved >= 0
}

// undo reverts the attempt.
func (t *gangPreemption) undo() {
	for _, r := range t.runs {
		t.runTable.close(r)
	}
	for _, r := range t.stopped {
		t.preemptor.setStopping(r, false)
	}
}
