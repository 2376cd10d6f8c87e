package record

// The counts of queues, teams and callers are updated as tasks change, so that
// admission need not look at all jobs. A team's counts are the sum over the queues
// that name it in the configuration in force, and are summed anew when that
// changes.

// QueueCounts counts the live jobs and their tasks in one queue, or in all queues
// of a team. Pending are tasks without an open run that are not final, also blocked
// ones.
type QueueCounts struct {
	Jobs, PendingTasks, RunningTasks int
}

// queueCaller is one caller in one queue.
type queueCaller struct{ queue, caller string }

// adjustCounts adds a change to the counts of a job's queue, of the queue's team
// and of the job's caller.
func (s *state) adjustCounts(job *Job, change QueueCounts) {
	queue := job.Spec.Queue
	adjustNamedCounts(s.queueCounts, queue, change)
	s.adjustCallerPending(queueCaller{queue, job.Spec.Caller}, change.PendingTasks)
	if team := s.settings.queues[queue].Team; team != "" {
		adjustNamedCounts(s.teamCounts, team, change)
	}
}

// adjustCallerPending adds to a caller's pending tasks, and drops a count of zero.
func (s *state) adjustCallerPending(key queueCaller, change int) {
	if change == 0 {
		return
	}
	s.callerPending[key] += change
	if s.callerPending[key] == 0 {
		delete(s.callerPending, key)
	}
}

// adjustNamedCounts adds to the counts under a name, and drops counts of zero.
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

// recountTeams sums the counts of the teams under the configuration in force.
func (s *state) recountTeams() {
	s.teamCounts = make(map[string]*QueueCounts)
	for name, counts := range s.queueCounts {
		if team := s.settings.queues[name].Team; team != "" {
			adjustNamedCounts(s.teamCounts, team, *counts)
		}
	}
}

// countsOf is what one task adds to its queue. A task counts as running while its
// run is open, also beyond the success of its gang.
func countsOf(task *Task) QueueCounts {
	switch {
	case task.Run != nil:
		return QueueCounts{RunningTasks: 1}
	case !task.State.Final():
		return QueueCounts{PendingTasks: 1}
	}
	return QueueCounts{}
}

// minus subtracts other counts.
func (c QueueCounts) minus(other QueueCounts) QueueCounts {
	return QueueCounts{
		Jobs:         c.Jobs - other.Jobs,
		PendingTasks: c.PendingTasks - other.PendingTasks,
		RunningTasks: c.RunningTasks - other.RunningTasks,
	}
}
