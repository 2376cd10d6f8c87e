package placement

// team is a team's rule and the open runs of its queues.
type team struct {
	rule    TeamRule
	running int
	// groups are those parked until a run of the team ends or its rule changes.
	awaitingGangs map[*subQueue]struct{}
}

// SetTeams implements Booker. A team that is not named has no bound.
func (e *Engine) SetTeams(rules []TeamRule) {
	for name, t := range e.teams {
		t.rule = TeamRule{Name: name}
	}
	for _, rule := range rules {
		e.team(rule.Name).rule = rule
	}
	for _, t := range e.teams {
		t.activateGangs()
	}
}

// team returns the team of that name and makes it if there is none.
func (e *Engine) team(name string) *team {
	if found, ok := e.teams[name]; ok {
		return found
	}
	made := &team{rule: TeamRule{Name: name}, awaitingGangs: map[*subQueue]struct{}{}}
	e.teams[name] = made
	return made
}

// joinTeam moves a queue and its open runs to the team that its rule names.
func (e *Engine) joinTeam(q *queue) {
	if q.team != nil {
		q.team.running -= q.running
		q.team = nil
	}
	if q.rule.Team != "" {
		q.team = e.team(q.rule.Team)
		q.team.running += q.running
	}
}

// wake makes groups that the limit held back ready to be looked at again.
func (t *team) activateGangs() {
	for l := range t.awaitingGangs {
		l.activate()
	}
}

// countRun adds to the open runs of the queue and of its team.
func (q *queue) countRun(change int) {
	q.running += change
	if q.team != nil {
		q.team.running += change
	}
}

// withinTeamLimit reports whether the team may open count more runs; no team
// allows any.
func withinTeamLimit(team *team, count int) bool {
	return team == nil || team.rule.MaxRunning <= 0 || team.running+count <= team.rule.MaxRunning
}

// canRun reports whether the limits of the queue and its team allow count more
// runs.
func (q *queue) canRun(count int) bool {
	return withinQueueLimit(q, count) && withinTeamLimit(q.team, count)
}
