package placement

// gangPreemption is a group's seats, as nominated runs, and the runs that would
// have to stop. All of it can be undone.
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

// preemptForGang promises room to all members of a group that finds none, or
// leaves all as it was. It always lets the pass go on.
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
	if !t.placeAll(priority) {
		t.undo()
		return true
	}
	p.allowance = t.spent
	e.nominate(t.members, t.runs, t.victims)
	return true
}

func (sub *subQueue) mayUseReservedSlots() bool {
	for _, m := range sub.members {
		if len(m.class.reservations) > 0 {
			return true
		}
	}
	return false
}

// couldPreempt reports whether each class would have places enough if all
// preemptible runs stopped; a cheap bound before a trial.
func (sub *subQueue) couldPreempt() bool {
	for _, m := range sub.members {
		if m.class.fitCountWithPreemption(m.count) < m.count {
			return false
		}
	}
	return true
}

func (t *gangPreemption) placeAll(priority int) bool {
	for _, member := range t.members {
		if !t.placeMember(member, priority) {
			return false
		}
	}
	return true
}

func (t *gangPreemption) placeMember(member *waiting, priority int) bool {
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

func (t *gangPreemption) undo() {
	for _, r := range t.runs {
		t.runTable.close(r)
	}
	for _, r := range t.stopped {
		t.preemptor.setStopping(r, false)
	}
}
