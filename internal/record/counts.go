package record

// QueueCounts counts the live jobs and their tasks in one queue, or in all queues
// of a team. Pending are tasks without an open run that are not final, also blocked
// ones.
type QueueCounts struct {
	Jobs, PendingTasks, RunningTasks int
}

// minus subtracts other counts.
func (c QueueCounts) minus(other QueueCounts) QueueCounts {
	return QueueCounts{
		Jobs:         c.Jobs - other.Jobs,
		PendingTasks: c.PendingTasks - other.PendingTasks,
		RunningTasks: c.RunningTasks - other.RunningTasks,
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

// countTable has the counts of queues, teams and callers. They are updated as tasks
// change, so that admission need not look at all jobs; counts of zero are dropped.
type countTable struct {
	// queues and teams are by name. A team's counts are the sum over the queues
	// that name it in the configuration in force.
	queues map[string]*QueueCounts
	teams  map[string]*QueueCounts
	// pendingByCaller counts the pending tasks of each caller of a queue.
	pendingByCaller map[queueCaller]int
}

// queueCaller is one caller in one queue.
type queueCaller struct{ queue, caller string }

func newCountTable() countTable {
	return countTable{
		queues:          make(map[string]*QueueCounts),
		teams:           make(map[string]*QueueCounts),
		pendingByCaller: make(map[queueCaller]int),
	}
}

// adjust adds a change to the counts of a job's queue, of the queue's team, which
// may be empty, and of the job's caller.
func (t *countTable) adjust(job *Job, team string, change QueueCounts) {
	queue := job.Spec.Queue
	adjustNamed(t.queues, queue, change)
	t.adjustPending(queueCaller{queue, job.Spec.Caller}, change.PendingTasks)
	if team != "" {
		adjustNamed(t.teams, team, change)
	}
}

// adjustPending adds to a caller's pending tasks.
func (t *countTable) adjustPending(key queueCaller, change int) {
	if change == 0 {
		return
	}
	t.pendingByCaller[key] += change
	if t.pendingByCaller[key] == 0 {
		delete(t.pendingByCaller, key)
	}
}

// recountTeams sums the counts of the teams under a configuration that has just
// come into force.
func (t *countTable) recountTeams(config *configState) {
	t.teams = make(map[string]*QueueCounts)
	for name, counts := range t.queues {
		if team := config.queues[name].Team; team != "" {
			adjustNamed(t.teams, team, *counts)
		}
	}
}

// adjustNamed adds to the counts under a name.
func adjustNamed(all map[string]*QueueCounts, name string, change QueueCounts) {
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

// countsIn returns the counts under a name, zero if there are none.
func countsIn(all map[string]*QueueCounts, name string) QueueCounts {
	if counts := all[name]; counts != nil {
		return *counts
	}
	return QueueCounts{}
}
