package placement

import (
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// A group needs all its places at once, and small tasks could take each place
// as it comes free. So the group that has waited longest at the highest
// priority gets its places one by one: after gatherAfter passes, room that fits
// a member is put aside until all have some. One group gathers at a time, so
// that two cannot wait for each other's room, and gives up after gatherFor
// passes, so that one that never gets whole does not keep the room. While a service
// of its members is not crowded it gives up sooner: nothing of that service shall
// stand still for long with most of the room free.
const (
	gatherAfter = 256
	gatherFor   = 4096
	// searchEvery is how many passes are between searches for such a group.
	searchEvery = 64
	// gatherUncrowded is how long room of a service that is not crowded is put aside.
	gatherUncrowded record.Millis = 2_000
)

// gathering is a group for which room is put aside.
type gathering struct {
	lane  *lane
	since uint64
	// began is the time of that pass.
	began record.Millis
	// runs are the nominated runs of the members that have room.
	runs map[*waiting]*run
}

// gather puts room aside for the group whose turn it is, and places it once it
// is whole.
func (p *pass) gather() {
	e := p.engine
	isRested := e.passes > e.gatheredUntil+1
	if e.gathering == nil && isRested && e.passes%searchEvery == 0 {
		e.startGathering()
	}
	g := e.gathering
	if g == nil {
		return
	}
	if e.hasGatheredLong(g) || !e.mayGather(g) {
		e.stopGathering()
		return
	}
	for _, member := range e.trialOrder(g.lane.tasks) {
		if g.runs[member] != nil {
			continue
		}
		if to, found := e.seatFor(member); found {
			g.runs[member] = e.newRun(&member.Task, to, e.now, true)
		}
	}
	if len(g.runs) == len(g.lane.tasks) {
		e.finishGathering(g)
	}
}

// hasGatheredLong reports whether the group must give up, or gathers in vain.
func (e *Engine) hasGatheredLong(g *gathering) bool {
	if e.passes-g.since > gatherFor || e.passes%searchEvery == 0 && !g.lane.hasPlacesOnceFree() {
		return true
	}
	return e.now-g.began > gatherUncrowded && slices.ContainsFunc(g.lane.members, func(m memberCount) bool { return !m.class.isCrowded() })
}

// startGathering picks the group that waits longest, of the highest priority.
func (e *Engine) startGathering() {
	var longest *lane
	for _, l := range e.groups {
		if l.waitsSince == 0 || e.passes-l.waitsSince < gatherAfter || !l.complete() || !e.couldBeWhole(l) {
			continue
		}
		if longest == nil || l.gathersBefore(longest) {
			longest = l
		}
	}
	if longest != nil {
		longest.makeUnready()
		e.gathering = &gathering{lane: longest, since: e.passes, began: e.now, runs: map[*waiting]*run{}}
	}
}

func (l *lane) gathersBefore(other *lane) bool {
	if l.line.level.priority != other.line.level.priority {
		return l.line.level.priority > other.line.level.priority
	}
	return compareWaiting(l.tasks[0], other.tasks[0]) < 0
}

// couldBeWhole reports whether the limits allow the group now, and it has places
// enough once what ends by itself has ended.
func (e *Engine) couldBeWhole(l *lane) bool {
	return l.line.queue.mayRun(len(l.tasks)) && l.hasPlacesOnceFree()
}

// hasPlacesOnceFree reports whether workers on which nothing ran but what runs
// until cancelled would have places enough for each class.
func (l *lane) hasPlacesOnceFree() bool {
	for _, m := range l.members {
		if m.class.placesOnceFree(m.count) < m.count {
			return false
		}
	}
	return true
}

// placesOnceFree counts these places, up to enough.
func (c *class) placesOnceFree(enough int) int {
	left := map[string]int{}
	total := 0
	for _, w := range c.pool.workers {
		if total >= enough {
			break
		}
		here := placesOn(c.key.need, w.Capacity.Sub(w.endless), enough-total)
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	return total
}

// mayGather reports whether the limits still allow the group, and the room put
// aside still keeps the rules.
func (e *Engine) mayGather(g *gathering) bool {
	if !g.lane.line.queue.mayRun(len(g.lane.tasks) - len(g.runs)) {
		return false
	}
	for member, r := range g.runs {
		if e.breaksRule(r, member) {
			return false
		}
	}
	return true
}

// stopGathering gives the room back.
func (e *Engine) stopGathering() {
	g := e.gathering
	e.gathering, e.gatheredUntil = nil, e.passes
	g.lane.waitsSince = e.passes
	for _, member := range e.trialOrder(g.members()) {
		e.end(g.runs[member])
	}
	g.lane.reconsider()
}

// isGathering reports whether room is put aside for the group.
func (e *Engine) isGathering(l *lane) bool { return e.gathering != nil && e.gathering.lane == l }

func (g *gathering) members() []*waiting {
	members := make([]*waiting, 0, len(g.runs))
	for member := range g.runs {
		members = append(members, member)
	}
	return members
}

// finishGathering makes the group a unit, which is placed as others are.
func (e *Engine) finishGathering(g *gathering) {
	e.gathering = nil
	members := e.trialOrder(g.lane.tasks)
	runs := make([]*run, 0, len(members))
	for _, member := range members {
		runs = append(runs, g.runs[member])
	}
	e.nominate(members, runs, nil)
}
