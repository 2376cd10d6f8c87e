package record

import "github.com/decklever/decklever/api"

// capture is a copy of all mutable parts of the state. It is made under the
// machine's lock, and a snapshot is written from it without the lock. Specs,
// workers, configuration orders and released windows are immutable and therefore
// shared. A few large slices are faster to fill than many small ones.
type capture struct {
	header   snapshotHeader
	versions []api.ConfigVersion
	orders   []*configOrder
	workers  []*Worker
	jobs     []capturedJob
	steps    []capturedStep
	tasks    []snapshotTask
	runs     []snapshotRun
}

// capturedJob is a job. Its steps are the stepCount elements of capture.steps that
// begin at firstStep.
type capturedJob struct {
	job       *Job
	cancelled bool
	firstStep int
	stepCount int
	// repetition, occurrences and started are set only for a repeating job.
	repetition  *Repetition
	occurrences []int
	started     bool
}

// capturedStep is a step. Its tasks are the taskCount elements of capture.tasks
// that begin at firstTask.
type capturedStep struct {
	openDependencies int
	lastFailedRun    uint32
	firstTask        int
	taskCount        int
}

// capture copies the state under the lock. It also returns the expiry that the
// snapshot will contain. The previous snapshot counts as durable if it has been
// written, see archiveExpiry.
func (m *Machine) capture() (*capture, *snapshotExpiry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.expiry.latestSnapshot; last != nil && last.written.Load() {
		m.expiry.durableBefore = max(m.expiry.durableBefore, last.expiredBefore)
	}
	m.expiry.latestSnapshot = &snapshotExpiry{expiredBefore: m.state.expiredBefore}
	return captureState(m.state), m.expiry.latestSnapshot
}

// captureState copies the mutable parts of a state and shares the immutable ones.
// The caller holds the machine's lock.
func captureState(s *state) *capture {
	config := &s.config
	c := &capture{
		versions: config.versions[:len(config.versions):len(config.versions)],
		orders:   config.orders.oldestFirst(),
		workers:  s.workers.sorted(),
		jobs:     make([]capturedJob, 0, len(s.jobs.sorted)),
		tasks:    make([]snapshotTask, 0, s.jobs.taskTotal),
		runs:     make([]snapshotRun, 0, s.runs.total),
	}
	for _, job := range s.jobs.sorted {
		c.addJob(job)
	}
	c.header = snapshotHeader{
		Format:          snapshotFormat,
		Applied:         s.applied,
		Clock:           s.clock,
		ExpiredBefore:   s.expiredBefore,
		ConfigVersion:   config.version,
		Config:          *config.accepted,
		Versions:        len(c.versions),
		Orders:          len(c.orders),
		Workers:         len(c.workers),
		Jobs:            len(c.jobs),
		ReleasedWindows: s.releasedWindows,
		DrainedZones:    s.drainedZones,
		Withdrawn:       s.withdrawn.oldestFirst,
	}
	return c
}

// addJob copies a job with its steps and tasks.
func (c *capture) addJob(job *Job) {
	c.jobs = append(c.jobs, c.captureJob(job))
	for _, step := range job.Steps {
		c.steps = append(c.steps, capturedStep{
			openDependencies: step.OpenDependencies,
			lastFailedRun:    step.lastFailedRun,
			firstTask:        len(c.tasks),
			taskCount:        len(step.Tasks),
		})
		for _, task := range step.Tasks {
			c.addTask(task)
		}
	}
}

// captureJob copies the mutable fields of a job, without its steps.
func (c *capture) captureJob(job *Job) capturedJob {
	captured := capturedJob{job: job, cancelled: job.Cancelled, firstStep: len(c.steps), stepCount: len(job.Steps)}
	if job.Repetition != nil {
		repetition := *job.Repetition
		captured.repetition = &repetition
		captured.occurrences = job.liveOccurrences()
		captured.started = job.started
	}
	return captured
}

// addTask copies a task and its open run.
func (c *capture) addTask(task *Task) {
	c.tasks = append(c.tasks, snapshotTask{
		State:           task.State,
		Failures:        task.Failures,
		AllowedFailures: task.AllowedFailures,
		LastRun:         task.LastRun,
		LastWorker:      task.LastWorker,
		NotBefore:       task.NotBefore,
		Reason:          task.Reason,
		Preemptions:     task.Preemptions,

		Checkpoint:        task.checkpoint.text,
		CheckpointRun:     task.checkpoint.run,
		CheckpointPercent: task.checkpoint.percent,

		Run: c.addRun(task.Run),
	})
}

// addRun copies an open run and returns a pointer to the copy, or nil if run is
// nil. The capacity of c.runs is the number of all open runs, so appending never
// moves elements that are already pointed to.
func (c *capture) addRun(run *Run) *snapshotRun {
	if run == nil {
		return nil
	}
	c.runs = append(c.runs, snapshotRun{
		WorkerID: run.WorkerID,
		Token:    run.Token,
		PlacedAt: run.PlacedAt,
		Stop:     run.Stop,
	})
	return &c.runs[len(c.runs)-1]
}
