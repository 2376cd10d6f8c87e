package record

// state is the complete replicated state, with the counts and indexes derived from
// it. Its tables keep the derived values consistent; the methods of Machine decide
// which changes a command may make. Snapshots contain only what cannot be derived.
type state struct {
	// applied is the index of the last applied entry, and clock the greatest
	// command time.
	applied uint64
	clock   Millis
	// expiredBefore hides archived jobs that ended before it.
	expiredBefore Millis

	config  configState
	jobs    jobTable
	runs    runTable
	workers workerTable
	counts  countTable

	// releasedWindows contains the released reservation windows that have not
	// ended, ordered by compareReleases. The elements are never changed, so that a
	// capture may share the slice.
	releasedWindows []ReleaseWindow
	// drainedZones contains the zones drained by DrainZone, sorted. The elements
	// are never changed, so that a capture may share the slice.
	drainedZones []string
	withdrawn    withdrawnTable
}

func newState(maxConfigOrders int) *state {
	return &state{
		config:  newConfigState(maxConfigOrders),
		jobs:    newJobTable(),
		runs:    newRunTable(),
		workers: newWorkerTable(),
		counts:  newCountTable(),

		withdrawn: newWithdrawnTable(),
	}
}

// addJob adds a job whose tasks already have their states and runs, and counts the
// job and its tasks.
func (s *state) addJob(job *Job) {
	s.jobs.add(job)
	s.adjustCounts(job, QueueCounts{Jobs: 1})
	s.addSteps(job, job.Steps)
}

// addSteps counts the tasks and runs of steps that were added to a job.
func (s *state) addSteps(job *Job, steps []*Step) {
	s.jobs.addSteps(steps)
	for _, step := range steps {
		for _, task := range step.Tasks {
			s.adjustCounts(job, taskCounts(task))
			if task.Run != nil {
				s.runs.add(task.Run)
			}
		}
	}
}

// removeJob removes an ended job.
func (s *state) removeJob(job *Job) {
	s.jobs.remove(job)
	s.adjustCounts(job, QueueCounts{Jobs: -1})
}

// setState changes a task's state and the counts of its queue.
func (s *state) setState(task *Task, next TaskState) {
	s.setRun(task, next, task.Run)
}

// setRun changes a task's state and open run, and the counts of its queue.
func (s *state) setRun(task *Task, next TaskState, run *Run) {
	before := taskCounts(task)
	task.State = next
	task.Run = run
	s.adjustCounts(task.Step.Job, taskCounts(task).subtract(before))
}

// adjustCounts adds a change of a job's counts to those of its queue, team and
// caller.
func (s *state) adjustCounts(job *Job, change QueueCounts) {
	s.counts.adjust(job, s.config.queues[job.Spec.Queue].Team, change)
}

// advanceClock advances the clock, which never goes back, and drops the released
// windows that have ended and the withdrawn jobs that have expired.
func (s *state) advanceClock(clock Millis) {
	s.clock = max(s.clock, clock)
	s.withdrawn.expire(s.clock)
	ended := 0
	for ended < len(s.releasedWindows) && s.releasedWindows[ended].End <= s.clock {
		ended++
	}
	s.releasedWindows = s.releasedWindows[ended:]
}
