package record

import "github.com/decklever/decklever/api"

// capture is a copy of all of the state that can change, made under the lock, from
// which a snapshot is written without it. Specs, workers, configuration orders and
// released windows never change and are shared. Few large slices are quicker to
// fill than many small ones.
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

// capturedJob is a job whose steps are stepCount elements of capture.steps, from
// firstStep on.
type capturedJob struct {
	job       *Job
	cancelled bool
	firstStep int
	stepCount int
	// repetition, occurrences and started are set only of a repeating job.
	repetition  *Repetition
	occurrences []int
	started     bool
}

// capturedStep is a step whose tasks are taskCount elements of capture.tasks, from
// firstTask on.
type capturedStep struct {
	waitsOn   int
	failedRun uint32
	firstTask int
	taskCount int
}

// capture copies the state under the lock, and returns with it the expiry that the
// snapshot will hold.
func (m *Machine) capture() (*capture, *snapshotExpiry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.expiry.latest; last != nil && last.written.Load() {
		m.expiry.durableBefore = max(m.expiry.durableBefore, last.expiredBefore)
	}
	m.expiry.latest = &snapshotExpiry{expiredBefore: m.state.expiredBefore}
	return captureState(m.state), m.expiry.latest
}

// captureState copies a state.
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
	}
	return c
}

// addJob copies a job with its steps and tasks.
func (c *capture) addJob(job *Job) {
	c.jobs = append(c.jobs, c.captureJob(job))
	for _, step := range job.Steps {
		c.steps = append(c.steps, capturedStep{
			waitsOn:   step.OpenDependencies,
			failedRun: step.lastFailedRun,
			firstTask: len(c.tasks),
			taskCount: len(step.Tasks),
		})
		for _, task := range step.Tasks {
			c.addTask(task)
		}
	}
}

// captureJob copies what can change of a job itself.
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

// addRun copies an open run. The capacity of runs is the number of all, so that
// appending never moves the elements that pointers were taken of.
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
