package record

import (
	"cmp"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// state is all that is replicated, with the counts and indexes derived from it.
// Its methods keep those right; what a command may do is decided by the methods of
// Machine. Snapshots hold what cannot be derived.
type state struct {
	// applied is the index of the last entry applied, clock the greatest command
	// time.
	applied uint64
	clock   Millis
	// expiredBefore hides archived jobs that ended earlier.
	expiredBefore Millis

	settings configState

	jobs map[string]*Job
	// sortedJobs holds the live jobs in the order of their ids.
	sortedJobs []*Job
	// taskTotal counts tasks of live occurrences, runTotal open runs.
	taskTotal int
	runTotal  int

	// workers is by name, workersByID by incarnation. A Worker is never
	// changed, only replaced.
	workers     map[string]*Worker
	workersByID map[string]*Worker
	// loadByWorkerID has the incarnations with open runs.
	loadByWorkerID map[string]*workerLoad
	// queueCounts and teamCounts have the counts that are not zero, by name.
	queueCounts map[string]*QueueCounts
	teamCounts  map[string]*QueueCounts
	// callerPending has the number of pending tasks of each caller of a queue, if
	// not zero.
	callerPending map[queueCaller]int
	// releasedWindows are the reservation windows given back that have not ended,
	// ordered by compareReleases. The elements are never changed, so that a capture
	// may share the slice.
	releasedWindows []ReleaseWindow
	// drainedZones are those drained by DrainZone, sorted. The elements are never
	// changed, so that a capture may share the slice.
	drainedZones []string
}

// workerLoad is the open runs on one worker incarnation.
type workerLoad struct {
	// used is the sum of their resources.
	used api.Resources
	// runs is ordered by compareRuns.
	runs []*Run
}

func newState(maxConfigOrders int) *state {
	return &state{
		settings:       newConfigState(maxConfigOrders),
		jobs:           make(map[string]*Job),
		workers:        make(map[string]*Worker),
		workersByID:    make(map[string]*Worker),
		loadByWorkerID: make(map[string]*workerLoad),
		queueCounts:    make(map[string]*QueueCounts),
		teamCounts:     make(map[string]*QueueCounts),
		callerPending:  make(map[queueCaller]int),
	}
}

// addJob adds a job whose tasks have their states and runs already, and counts
// them.
func (s *state) addJob(job *Job) {
	s.jobs[job.ID] = job
	position, _ := s.findJob(job.ID)
	s.sortedJobs = slices.Insert(s.sortedJobs, position, job)
	s.indexJob(job)
}

// indexJob counts a job with its tasks and runs.
func (s *state) indexJob(job *Job) {
	s.adjustCounts(job, QueueCounts{Jobs: 1})
	s.indexSteps(job, job.Steps)
}

// indexSteps counts the tasks and runs of steps that were added to a job.
func (s *state) indexSteps(job *Job, steps []*Step) {
	for _, step := range steps {
		s.taskTotal += len(step.Tasks)
		for _, task := range step.Tasks {
			s.adjustCounts(job, countsOf(task))
			if task.Run != nil {
				s.addRun(task.Run)
			}
		}
	}
}

// removeJob removes an ended job. It stays in sortedJobs until compactJobs, at the
// end of the entry.
func (s *state) removeJob(job *Job) {
	delete(s.jobs, job.ID)
	s.removeSteps(job.Steps)
	s.adjustCounts(job, QueueCounts{Jobs: -1})
}

// removeSteps discounts steps whose tasks are all final and without a run.
func (s *state) removeSteps(steps []*Step) {
	for _, step := range steps {
		s.taskTotal -= len(step.Tasks)
	}
}

// maxSingleRemovals is the number of jobs up to which removing one at a time is
// cheaper than one pass over the whole list.
const maxSingleRemovals = 8

// compactJobs removes ended jobs from sortedJobs. A job that ended and whose id was
// submitted again cannot be in one entry, so an id stands once in the list.
func (s *state) compactJobs(ended []*Job) {
	if len(ended) > maxSingleRemovals {
		s.sortedJobs = slices.DeleteFunc(s.sortedJobs, func(job *Job) bool {
			return s.jobs[job.ID] != job
		})
		return
	}
	for _, job := range ended {
		if position, found := s.findJob(job.ID); found {
			s.sortedJobs = slices.Delete(s.sortedJobs, position, position+1)
		}
	}
}

// findJob returns the position of an id in sortedJobs, or that where it belongs.
func (s *state) findJob(id string) (int, bool) {
	return slices.BinarySearchFunc(s.sortedJobs, id, func(job *Job, id string) int {
		return strings.Compare(job.ID, id)
	})
}

// task returns a task of a live occurrence, or nil.
func (s *state) task(id TaskID) *Task {
	job := s.jobs[id.Job]
	if job == nil {
		return nil
	}
	found := job.findOccurrence(id.Occurrence)
	if found == nil {
		return nil
	}
	for _, step := range found.steps {
		if step.Spec.Name != id.Step {
			continue
		}
		if id.Index < 0 || id.Index >= len(step.Tasks) {
			return nil
		}
		return step.Tasks[id.Index]
	}
	return nil
}

// setState changes a task's state and the counts of its queue.
func (s *state) setState(task *Task, next TaskState) {
	s.setRun(task, next, task.Run)
}

// setRun changes a task's state and open run, and the counts of its queue.
func (s *state) setRun(task *Task, next TaskState, run *Run) {
	before := countsOf(task)
	task.State = next
	task.Run = run
	s.adjustCounts(task.Step.Job, countsOf(task).minus(before))
}

// addRun counts an open run on its worker, its occurrence and its job.
func (s *state) addRun(run *Run) {
	load := s.loadByWorkerID[run.WorkerID]
	if load == nil {
		load = &workerLoad{}
		s.loadByWorkerID[run.WorkerID] = load
	}
	load.used = load.used.Add(run.Task.Spec.Resources)
	position, _ := load.search(run)
	load.runs = slices.Insert(load.runs, position, run)
	run.Task.Step.Job.openRuns++
	run.Task.Step.occurrence.openRuns++
	s.runTotal++
}

// removeRun discounts an open run.
func (s *state) removeRun(run *Run) {
	load := s.loadByWorkerID[run.WorkerID]
	load.used = load.used.Sub(run.Task.Spec.Resources)
	if position, found := load.search(run); found {
		load.runs = slices.Delete(load.runs, position, position+1)
	}
	if len(load.runs) == 0 {
		delete(s.loadByWorkerID, run.WorkerID)
	}
	run.Task.Step.Job.openRuns--
	run.Task.Step.occurrence.openRuns--
	run.Task.Step.flagIfOccurrenceEnded()
	s.runTotal--
}

// search returns the position of a run in runs, or that where it belongs.
func (l *workerLoad) search(run *Run) (int, bool) {
	return slices.BinarySearchFunc(l.runs, run, compareRuns)
}

// usedResources is the sum over the open runs on a worker incarnation.
func (s *state) usedResources(workerID string) api.Resources {
	if load := s.loadByWorkerID[workerID]; load != nil {
		return load.used
	}
	return api.Resources{}
}

// hasOpenRuns reports whether a run is open on a worker incarnation.
func (s *state) hasOpenRuns(workerID string) bool {
	return s.loadByWorkerID[workerID] != nil
}

// sortedOpenRuns returns every open run, ordered by compareRuns.
func (s *state) sortedOpenRuns() []*Run {
	runs := make([]*Run, 0, s.runTotal)
	for _, load := range s.loadByWorkerID {
		runs = append(runs, load.runs...)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// compareRuns orders runs by job, occurrence, step, task and number.
func compareRuns(a, b *Run) int {
	return cmp.Or(
		strings.Compare(a.Task.ID.Job, b.Task.ID.Job),
		cmp.Compare(a.Task.ID.Occurrence, b.Task.ID.Occurrence),
		strings.Compare(a.Task.ID.Step, b.Task.ID.Step),
		cmp.Compare(a.Task.ID.Index, b.Task.ID.Index),
		cmp.Compare(a.Number, b.Number),
	)
}

// sortedWorkers returns the workers in the order of their names.
func (s *state) sortedWorkers() []*Worker {
	workers := make([]*Worker, 0, len(s.workers))
	for _, worker := range s.workers {
		workers = append(workers, worker)
	}
	slices.SortFunc(workers, func(a, b *Worker) int {
		return strings.Compare(a.Name, b.Name)
	})
	return workers
}

// advanceClock moves the clock, which never goes back, and drops the released
// windows that have ended.
func (s *state) advanceClock(clock Millis) {
	s.clock = max(s.clock, clock)
	ended := 0
	for ended < len(s.releasedWindows) && s.releasedWindows[ended].End <= s.clock {
		ended++
	}
	s.releasedWindows = s.releasedWindows[ended:]
}
