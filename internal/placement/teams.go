package placement

// team is a team's rule and the open runs of its queues.
type team struct {
	rule    TeamRule
	running int
	// awaitingGangs are those that wait until a run of the team ends or its rule
	// changes.
	awaitingGangs map[*subQueue]struct{}
}

// setTeamRules replaces the rules of all teams. A team that is not named has no bound.
func (t *queueTable) setTeamRules(rules []TeamRule) {
	for name, team := range t.teams {
		team.rule = TeamRule{Name: name}
	}
	for _, rule := range rules {
		t.team(rule.Name).rule = rule
	}
	for _, team := range t.teams {
		team.activateGangs()
	}
}

// team returns the team of that name and makes it if there is none.
func (t *queueTable) team(name string) *team {
	if found, ok := t.teams[name]; ok {
		return found
	}
	made := &team{rule: TeamRule{Name: name}, awaitingGangs: map[*subQueue]struct{}{}}
	t.teams[name] = made
	return made
}

// joinTeam moves a queue and its open runs to the team that its rule names.
func (t *queueTable) joinTeam(q *queue) {
	if q.team != nil {
		q.team.running -= q.running
		q.team = nil
	}
	if q.rule.Team != "" {
		q.team = t.team(q.rule.Team)
		q.team.running += q.running
	}
}

// activateGangs lets the next pass look at gangs that the team's limit held back.
func (t *team) activateGangs() {
	for sub := range t.awaitingGangs {
		sub.activate()
	}
}

// withinTeamLimit reports whether the team may open count more runs; no team allows
// any.
func withinTeamLimit(team *team, count int) bool {
	return team == nil || team.rule.MaxRunning <= 0 || team.running+count <= team.rule.MaxRunning
}
