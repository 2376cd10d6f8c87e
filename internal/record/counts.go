package record

// QueueCounts counts the live jobs and their tasks in one queue, or in all queues
// of a team. Pending tasks are not final and have no open run; they include
// blocked tasks.
type QueueCounts struct {
	Jobs, PendingTasks, RunningTasks int
}

// subtract returns c minus other, field by field.
func (c QueueCounts) subtract(other QueueCounts) QueueCounts {
	return QueueCounts{
		Jobs:         c.Jobs - other.Jobs,
		PendingTasks: c.PendingTasks - other.PendingTasks,
		RunningTasks: c.RunningTasks - other.RunningTasks,
	}
}

// taskCounts returns what one task adds to the counts of its queue. A task counts as
// running while its run is open, even after its gang has succeeded.
func taskCounts(task *Task) QueueCounts {
	switch {
	case task.Run != nil:
		return QueueCounts{RunningTasks: 1}
	case !task.State.Final():
		return QueueCounts{PendingTasks: 1}
	}
	return QueueCounts{}
}

// countTable holds the counts of queues, teams and callers. They are updated with
// every change of a job or task, so that admission does not iterate over all jobs.
// Entries whose counts are zero are deleted.
type countTable struct {
	// queues and teams are keyed by name. A team's counts are the sum over the
	// queues assigned to it in the configuration in force.
	queues map[string]*QueueCounts
	teams  map[string]*QueueCounts
	// pendingByCaller counts the pending tasks of each caller in each queue.
	pendingByCaller map[queueCaller]int
}

// queueCaller identifies a caller within a queue.
type queueCaller struct{ queue, caller string }

func newCountTable() countTable {
	return countTable{
		queues:          make(map[string]*QueueCounts),
		teams:           make(map[string]*QueueCounts),
		pendingByCaller: make(map[queueCaller]int),
	}
}

// adjust adds a change to the counts of the job's queue, of the job's caller, and
// of the queue's team. team is empty if the queue has none.
func (t *countTable) adjust(job *Job, team string, change QueueCounts) {
	queue := job.Spec.Queue
	adjustByName(t.queues, queue, change)
	t.adjustPending(queueCaller{queue, job.Spec.Caller}, change.PendingTasks)
	if team != "" {
		adjustByName(t.teams, team, change)
	}
}

// adjustPending adds a change to the pending tasks of a caller.
func (t *countTable) adjustPending(key queueCaller, change int) {
	if change == 0 {
		return
	}
	t.pendingByCaller[key] += change
	if t.pendingByCaller[key] == 0 {
		delete(t.pendingByCaller, key)
	}
}

// recountTeams recomputes the counts of all teams. It is called after a
// configuration was activated.
func (t *countTable) recountTeams(config *configState) {
	t.teams = make(map[string]*QueueCounts)
	for name, counts := range t.queues {
		if team := config.queues[name].Team; team != "" {
			adjustByName(t.teams, team, *counts)
		}
	}
}

// adjustByName adds a change to the counts stored under a name.
func adjustByName(countsByName map[string]*QueueCounts, name string, change QueueCounts) {
	counts := countsByName[name]
	if counts == nil {
		counts = &QueueCounts{}
		countsByName[name] = counts
	}
	counts.Jobs += change.Jobs
	counts.PendingTasks += change.PendingTasks
	counts.RunningTasks += change.RunningTasks
	if *counts == (QueueCounts{}) {
		delete(countsByName, name)
	}
}

// lookupCounts returns the counts stored under a name, or zero counts if there are none.
func lookupCounts(countsByName map[string]*QueueCounts, name string) QueueCounts {
	if counts := countsByName[name]; counts != nil {
		return *counts
	}
	return QueueCounts{}
}
