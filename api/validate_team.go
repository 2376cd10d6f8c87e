package api

import "fmt"

// checkTeams validates each team, and that names are unique.
func checkTeams(errors *fieldErrors, teams []TeamConfig) {
	first := make(map[string]int, len(teams))
	for index, team := range teams {
		path := fmt.Sprintf("teams[%d]", index)
		checkShortName(errors, path+".name", team.Name)
		checkAtLeast(errors, path+".max_running_tasks", team.MaxRunningTasks, 0)
		checkAtLeast(errors, path+".max_pending_tasks", team.MaxPendingTasks, 0)
		checkUnique(errors, first, "teams", index, team.Name)
	}
}

// runningTasksBound is a bound on open runs. field describes the field that sets
// it, as in "max_running_tasks of queue \"q\"".
type runningTasksBound struct {
	limit int
	field string
}

// queueTeam returns the queue's team, or false if the queue names no team or one
// that does not exist.
func (c *Config) queueTeam(queue *QueueConfig) (TeamConfig, bool) {
	for _, team := range c.Teams {
		if queue.Team != "" && team.Name == queue.Team {
			return team, true
		}
	}
	return TeamConfig{}, false
}

// taskBounds returns the bounds on open runs of a queue that its own
// configuration and that of its team set.
func (c *Config) taskBounds(queue *QueueConfig) []runningTasksBound {
	var bounds []runningTasksBound
	if queue.MaxRunningTasks > 0 {
		bounds = append(bounds, runningTasksBound{queue.MaxRunningTasks, fmt.Sprintf("max_running_tasks of queue %q", queue.Name)})
	}
	if team, found := c.queueTeam(queue); found && team.MaxRunningTasks > 0 {
		bounds = append(bounds, runningTasksBound{team.MaxRunningTasks, fmt.Sprintf("max_running_tasks of team %q", team.Name)})
	}
	return bounds
}
