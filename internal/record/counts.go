package record

// Counts of queues and teams are kept as tasks change. A team's counts are the
// sum over the queues that name it in the configuration in force, so they are
// added up anew when that changes.

// callerKey is one caller in one queue.
type callerKey struct{ queue, caller string }

// count adds a change of a job to its queue, to the queue's team and to the job's
// caller; what is zero is dropped.
func (s *state) count(job *Job, change QueueCounts) {
	queue := job.Spec.Queue
	addCounts(s.queues, queue, change)
	s.countCaller(callerKey{queue, job.Spec.Caller}, change.PendingTasks)
	if team := s.settings.queues[queue].Team; team != "" {
		addCounts(s.teams, team, change)
	}
}

func (s *state) countCaller(key callerKey, change int) {
	if change == 0 {
		return
	}
	s.callers[key] += change
	if s.callers[key] == 0 {
		delete(s.callers, key)
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
