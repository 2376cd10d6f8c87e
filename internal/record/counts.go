package record

// Counts of queues and teams are kept as tasks change. A team's counts are the
// sum over the queues that name it in the configuration in force, so they are
// added up anew when that changes.

// queueCaller is one caller in one queue.
type queueCaller struct{ queue, caller string }

// adjustCounts adds a change of a job to its queue, to the queue's team and to the job's
// caller; what is zero is dropped.
func (s *state) adjustCounts(job *Job, change QueueCounts) {
	queue := job.Spec.Queue
	adjustNamedCounts(s.queueCounts, queue, change)
	s.adjustCallerPending(queueCaller{queue, job.Spec.Caller}, change.PendingTasks)
	if team := s.settings.queues[queue].Team; team != "" {
		adjustNamedCounts(s.teamCounts, team, change)
	}
}

func (s *state) adjustCallerPending(key queueCaller, change int) {
	if change == 0 {
		return
	}
	s.callerPending[key] += change
	if s.callerPending[key] == 0 {
		delete(s.callerPending, key)
	}
}

func adjustNamedCounts(all map[string]*QueueCounts, name string, change QueueCounts) {
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
	s.teamCounts = make(map[string]*QueueCounts)
	for name, counts := range s.queueCounts {
		if team := s.settings.queues[name].Team; team != "" {
			adjustNamedCounts(s.teamCounts, team, *counts)
		}
	}
}

// countsOf is what one task adds to its queue. It runs while a run is open, also
// one that goes on after the success of its group.
func countsOf(task *Task) QueueCounts {
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

// QueueCounts is the content of one queue, or of all queues of a team.
type QueueCounts struct {
	Jobs, PendingTasks, RunningTasks int
}
