package placement

// groupTrial is a group's seats, as nominated runs, and the runs that would
// have to stop. All of it can be undone.
type groupTrial struct {
	engine  *Engine
	members []*waiting
	runs    []*run
	victims []Preemption
	stopped []*run
	spent   allowance
}

// preemptForGroup promises room to all members of a group that finds none, or
// leaves all as it was. It always lets the pass go on.
func (p *pass) preemptForGroup(l *lane) bool {
	e := p.engine
	priority := l.line.level.priority
	e.addPreemptLater(l)
	if !e.hasVictims(priority) && !l.mayUseSlices() {
		return true
	}
	if p.allowance.groupTrials == 0 || !e.couldPreempt(l) {
		return true
	}
	p.allowance.groupTrials--
	t := &groupTrial{engine: e, members: e.trialOrder(l.tasks), spent: p.allowance}
	if !t.seatAll(priority) {
		t.undo()
		return true
	}
	p.allowance = t.spent
	e.nominate(t.members, t.runs, t.victims)
	return true
}

func (l *lane) mayUseSlices() bool {
	for _, m := range l.members {
		if len(m.class.bookings) > 0 {
			return true
		}
	}
	return false
}

// couldPreempt reports whether each class would have places enough if all
// preemptible runs stopped; a cheap bound before a trial.
func (e *Engine) couldPreempt(l *lane) bool {
	for _, m := range l.members {
		if m.class.placesPreempting(m.count) < m.count {
			return false
		}
	}
	return true
}

// placesPreempting is class.places with the room of preemptible runs.
func (c *class) placesPreempting(enough int) int {
	left := map[string]int{}
	total := 0
	for _, r := range c.bookings {
		total += c.openSlots(r.sets)
	}
	for _, w := range c.pool.workers {
		if total >= enough {
			break
		}
		if w.guarded && !c.key.untilCancelled {
			continue
		}
		here := placesOn(c.key.need, w.coming().Add(w.preemptible), enough-total)
		if c.spread != nil && here > 0 {
			here = takeFromDomain(left, c.spread, &w.Worker, here)
		}
		total += here
	}
	return total
}

func (t *groupTrial) seatAll(priority int) bool {
	for _, member := range t.members {
		if !t.seat(member, priority) {
			return false
		}
	}
	return true
}

func (t *groupTrial) seat(member *waiting, priority int) bool {
	e, c := t.engine, member.class
	var chosen choice
	if to, found := e.seatFor(member); found {
		chosen.to = to
	} else {
		chosen = e.bookedChoice(c)
	}
	if !chosen.possible() {
		chosen = e.priorityChoice(c, priority)
	}
	if !chosen.possible() {
		return false
	}
	t.spent.spend(&chosen)
	t.victims = append(t.victims, e.stop(chosen.victims, member.ID)...)
	t.stopped = append(t.stopped, chosen.victims...)
	t.runs = append(t.runs, e.newRun(&member.Task, chosen.to, e.now, true))
	return t.spent.preemptions >= 0 && t.spent.booked >= 0
}

func (t *groupTrial) undo() {
	for _, r := range t.runs {
		t.engine.close(r)
	}
	for _, r := range t.stopped {
		t.engine.setStopping(r, false)
	}
}
