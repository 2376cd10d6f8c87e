package fairshare

// Table owns the rules and the counts of queues and teams.
type Table struct {
	queues map[string]*Queue
	teams  map[string]*team
	// anyHeadroom is set while a queue leaves headroom, anyDeferences while one was
	// given others to defer to.
	anyHeadroom, anyDeferences bool
}

// NewTable returns a Table without queues.
func NewTable() *Table {
	return &Table{queues: map[string]*Queue{}, teams: map[string]*team{}}
}

// Find returns the queue of that name, or nil.
func (t *Table) Find(name string) *Queue { return t.queues[name] }

// Get returns the queue of that name and makes it if there is none. One without a rule
// has weight 1 and no bound.
func (t *Table) Get(name string) *Queue {
	if found, ok := t.queues[name]; ok {
		return found
	}
	made := newQueue(name)
	t.queues[name] = made
	return made
}

// SetQueues replaces the rules of all queues and activates what waits for a limit. It
// returns the queues whose headroom changed.
func (t *Table) SetQueues(rules []QueueRule) map[string]bool {
	before := t.headrooms()
	for name, q := range t.queues {
		q.setRule(QueueRule{Name: name})
	}
	for _, rule := range rules {
		t.Get(rule.Name).setRule(rule)
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

// headrooms are those of the queues that have one.
func (t *Table) headrooms() map[string]int {
	headrooms := map[string]int{}
	for name, q := range t.queues {
		if q.rule.Headroom != 0 {
			headrooms[name] = q.rule.Headroom
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

// SetTeams replaces the rules of all teams and activates what waits for their limits. A
// team that is not named has no bound.
func (t *Table) SetTeams(rules []TeamRule) {
	for _, team := range t.teams {
		team.maxRunning = 0
	}
	for _, rule := range rules {
		t.team(rule.Name).maxRunning = rule.MaxRunning
	}
	t.activateTeams()
}

func (t *Table) activateTeams() {
	for _, team := range t.teams {
		team.waiters.activate()
	}
}

// team returns the team of that name and makes it if there is none.
func (t *Table) team(name string) *team {
	if found, ok := t.teams[name]; ok {
		return found
	}
	made := &team{name: name, limited: limited{waiters: Waitlist{}}}
	t.teams[name] = made
	return made
}

// joinTeam moves a queue and its open runs to the team that its rule names.
func (t *Table) joinTeam(q *Queue) {
	if q.team != nil {
		q.team.running -= q.running
		q.team = nil
	}
	if q.rule.Team != "" {
		q.team = t.team(q.rule.Team)
		q.team.running += q.running
	}
}

// SetDeferences replaces which queues defer to which.
func (t *Table) SetDeferences(deferences []Deference) {
	t.anyDeferences = len(deferences) > 0
	for _, q := range t.queues {
		q.defersTo = nil
	}
	for _, deference := range deferences {
		q := t.Get(deference.Queue)
		q.defersTo = make(map[*Queue]bool, len(deference.To))
		for _, to := range deference.To {
			q.defersTo[t.Get(to)] = true
		}
	}
}

// MayDefer reports whether some queue was given others to defer to.
func (t *Table) MayDefer() bool { return t.anyDeferences }

// NeedsUtilization reports whether the utilization of services decides for some queue.
func (t *Table) NeedsUtilization() bool { return t.anyHeadroom || t.anyDeferences }

// SetReserved records for which queues capacity is reserved now, and returns those that
// got their first window or lost their last.
func (t *Table) SetReserved(reserved map[string]bool) map[string]bool {
	changed := map[string]bool{}
	for name, q := range t.queues {
		if q.reserved != reserved[name] {
			changed[name] = true
		}
	}
	for name := range reserved {
		if !t.Get(name).reserved {
			changed[name] = true
		}
	}
	for name := range changed {
		t.Get(name).reserved = reserved[name]
	}
	return changed
}
