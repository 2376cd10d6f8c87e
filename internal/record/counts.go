package record

// Counts of queues and teams are kept as tasks change. A team's counts are the
// sum over the queues that name it in the configuration in force, so they are
// added up anew when that changes.

// count adds a change to a queue and to its team; what is zero is dropped.
func (s *state) count(queue string, change QueueCounts) {
	addCounts(s.queues, queue, change)
	if team := s.settings.queues[queue].Team; team != "" {
		addCounts(s.teams, team, change)
	}
}

func addCounts(all map[string]*QueueCounts, name string, change QueueCounts) {
	counts := all[name]
	if counts == nil {
		counts = &QueueCounts{}
		all[name] = counts
	}
	counts.Jobs += change.Jobs
	counts.PendingTasks += change.PendingTasks
	counts.RunningTasks += change.RunningTasks
	if *counts == (QueueCounts{}) {
		delete(all, name)
	}
}

// recountTeams adds up the teams under the configuration in force.
func (s *state) recountTeams() {
	s.teams = make(map[string]*QueueCounts)
	for name, counts := range s.queues {
		if team := s.settings.queues[name].Team; team != "" {
			addCounts(s.teams, team, *counts)
		}
	}
}

// countOf is what one task adds to its queue. It runs while a run is open, also
// one that goes on after the success of its group.
func countOf(task *Task) QueueCounts {
	switch {
	case task.Run != nil:
		return QueueCounts{RunningTasks: 1}
	case !task.State.Final():
		return QueueCounts{PendingTasks: 1}
	}
	return QueueCounts{}
}

// minus returns the counts less others.
func (c QueueCounts) minus(other QueueCounts) QueueCounts {
	return QueueCounts{
		Jobs:         c.Jobs - other.Jobs,
		PendingTasks: c.PendingTasks - other.PendingTasks,
		RunningTasks: c.RunningTasks - other.RunningTasks,
	}
}
