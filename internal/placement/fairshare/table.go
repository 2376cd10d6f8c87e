package fairshare

// Table owns the rules and the counts of queues and teams.
type Table struct {
	queues map[string]*Queue
	teams  map[string]*team
	// anyHeadroom is set while any queue leaves headroom; anyDeferences is set while any
	// queue defers to others.
	anyHeadroom, anyDeferences bool
}

// NewTable returns a Table without queues.
func NewTable() *Table {
	return &Table{queues: map[string]*Queue{}, teams: map[string]*team{}}
}

// Find returns the queue with the given name; nil if there is none.
func (t *Table) Find(name string) *Queue { return t.queues[name] }

// GetOrCreate returns the queue with the given name, and creates it if there is none. A queue
// without a rule has weight 1 and no limit.
func (t *Table) GetOrCreate(name string) *Queue {
	if found, ok := t.queues[name]; ok {
		return found
	}
	created := newQueue(name)
	t.queues[name] = created
	return created
}

// SetQueues replaces the rules of all queues and activates the waiters of all limits. It
// returns the names of the queues whose headroom changed.
func (t *Table) SetQueues(rules []QueueRule) map[string]bool {
	before := t.headrooms()
	for name, q := range t.queues {
		q.setRule(QueueRule{Name: name})
	}
	for _, rule := range rules {
		t.GetOrCreate(rule.Name).setRule(rule)
	}
	for _, q := range t.queues {
		t.joinTeam(q)
		q.waiters.activate()
	}
	t.activateTeams()
	after := t.headrooms()
	t.anyHeadroom = len(after) > 0
	return changedHeadrooms(before, after)
}

// headrooms returns the headroom of each queue that has one.
func (t *Table) headrooms() map[string]int {
	headrooms := map[string]int{}
	for name, q := range t.queues {
		if q.rule.HeadroomPercent != 0 {
			headrooms[name] = q.rule.HeadroomPercent
		}
	}
	return headrooms
}

func changedHeadrooms(before, after map[string]int) map[string]bool {
	changed := map[string]bool{}
	for name, headroom := range before {
		if after[name] != headroom {
			changed[name] = true
		}
	}
	for name, headroom := range after {
		if before[name] != headroom {
			changed[name] = true
		}
	}
	return changed
}

// SetTeams replaces the rules of all teams and activates the waiters of their limits. A
// team without a rule has no limit.
func (t *Table) SetTeams(rules []TeamRule) {
	for _, team := range t.teams {
		team.maxRunning = 0
	}
	for _, rule := range rules {
		t.getOrCreateTeam(rule.Name).maxRunning = rule.MaxRunning
	}
	t.activateTeams()
}

func (t *Table) activateTeams() {
	for _, team := range t.teams {
		team.waiters.activate()
	}
}

// getOrCreateTeam returns the team with the given name, and creates it if there is none.
func (t *Table) getOrCreateTeam(name string) *team {
	if found, ok := t.teams[name]; ok {
		return found
	}
	created := &team{name: name, runLimit: runLimit{waiters: Waitlist{}}}
	t.teams[name] = created
	return created
}

// joinTeam moves a queue and the count of its open runs to the team that its rule names.
func (t *Table) joinTeam(q *Queue) {
	if q.team != nil {
		q.team.running -= q.running
		q.team = nil
	}
	if q.rule.Team != "" {
		q.team = t.getOrCreateTeam(q.rule.Team)
		q.team.running += q.running
	}
}

// SetDeferences replaces the deferences of all queues.
func (t *Table) SetDeferences(deferences []Deference) {
	t.anyDeferences = len(deferences) > 0
	for _, q := range t.queues {
		q.defersTo = nil
	}
	for _, deference := range deferences {
		q := t.GetOrCreate(deference.Queue)
		q.defersTo = make(map[*Queue]bool, len(deference.To))
		for _, to := range deference.To {
			q.defersTo[t.GetOrCreate(to)] = true
		}
	}
}

// MayDefer reports whether any queue was given queues to defer to.
func (t *Table) MayDefer() bool { return t.anyDeferences }

// NeedsUtilization reports whether the rules of any queue depend on the utilization of
// services.
func (t *Table) NeedsUtilization() bool { return t.anyHeadroom || t.anyDeferences }

// SetReserved sets for which queues capacity is currently reserved. It returns the names
// of the queues that got their first window or lost their last one.
func (t *Table) SetReserved(reserved map[string]bool) map[string]bool {
	changed := map[string]bool{}
	for name, q := range t.queues {
		if q.reserved != reserved[name] {
			changed[name] = true
		}
	}
	for name := range reserved {
		if !t.GetOrCreate(name).reserved {
			changed[name] = true
		}
	}
	for name := range changed {
		t.GetOrCreate(name).reserved = reserved[name]
	}
	return changed
}
