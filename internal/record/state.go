package record

import (
	"cmp"
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// state is all that is replicated, with the indexes derived from it. Its
// methods keep counts and indexes right; the rules are methods of Machine.
type state struct {
	applied uint64
	clock   Millis
	// expiredBefore hides archived jobs that ended earlier.
	expiredBefore Millis

	settings configuration

	jobs map[string]*Job
	// jobList holds the live jobs in the order of their ids.
	jobList []*Job
	// taskTotal and runTotal count tasks and open runs of live jobs.
	taskTotal int
	runTotal  int

	// workers is by name, workersByID by incarnation. A Worker is never
	// changed, only replaced.
	workers     map[string]*Worker
	workersByID map[string]*Worker
	// loads is by incarnation; those without an open run have none.
	loads map[string]*load
	// queues and teams hold counts that are not zero, by name.
	queues map[string]*QueueCounts
	teams  map[string]*QueueCounts
	// callers hold the waiting tasks of each caller of a queue that has some.
	callers map[callerKey]int
	// released holds windows given back that have not ended, by end. What lies
	// in the slice is never changed, so that a capture may share it.
	released []ReleaseWindow
	// drainedZones are those drained by an order, sorted. What lies in the
	// slice is never changed, so that a capture may share it.
	drainedZones []string
}

// load is what the open runs on one worker incarnation take.
type load struct {
	used api.Resources
	// runs is in the order of their ids.
	runs []*Run
}

func newState(ordersKept int) *state {
	return &state{
		settings:    newConfiguration(ordersKept),
		jobs:        make(map[string]*Job),
		workers:     make(map[string]*Worker),
		workersByID: make(map[string]*Worker),
		loads:       make(map[string]*load),
		queues:      make(map[string]*QueueCounts),
		teams:       make(map[string]*QueueCounts),
		callers:     make(map[callerKey]int),
	}
}

// addJob enters a job whose tasks all have their states already.
func (s *state) addJob(job *Job) {
	s.jobs[job.ID] = job
	place, _ := s.findJob(job.ID)
	s.jobList = slices.Insert(s.jobList, place, job)
	s.indexJob(job)
}

// indexJob counts a job's tasks and runs.
func (s *state) indexJob(job *Job) {
	s.count(job, QueueCounts{Jobs: 1})
	s.indexSteps(job, job.Steps)
}

// indexSteps counts the tasks and runs of steps that a job has anew.
func (s *state) indexSteps(job *Job, steps []*Step) {
	for _, step := range steps {
		s.taskTotal += len(step.Tasks)
		for _, task := range step.Tasks {
			s.count(job, countOf(task))
			if task.Run != nil {
				s.addRun(task.Run)
			}
		}
	}
}

// removeJob takes an ended job out; jobList follows in compactJobs.
func (s *state) removeJob(job *Job) {
	delete(s.jobs, job.ID)
	s.removeSteps(job.Steps)
	s.count(job, QueueCounts{Jobs: -1})
}

// removeSteps takes out steps whose tasks are all final.
func (s *state) removeSteps(steps []*Step) {
	for _, step := range steps {
		s.taskTotal -= len(step.Tasks)
	}
}

// fewRemovals is the number up to which removing one at a time is cheaper
// than passing over the whole list.
const fewRemovals = 8

// compactJobs takes ended jobs out of jobList.
func (s *state) compactJobs(ended []*Job) {
	if len(ended) > fewRemovals {
		s.jobList = slices.DeleteFunc(s.jobList, func(job *Job) bool {
			return s.jobs[job.ID] != job
		})
		return
	}
	for _, job := range ended {
		if place, found := s.findJob(job.ID); found {
			s.jobList = slices.Delete(s.jobList, place, place+1)
		}
	}
}

func (s *state) findJob(id string) (int, bool) {
	return slices.BinarySearchFunc(s.jobList, id, func(job *Job, id string) int {
		return strings.Compare(job.ID, id)
	})
}

func (s *state) task(id TaskID) *Task {
	job := s.jobs[id.Job]
	if job == nil {
		return nil
	}
	in := job.findOccurrence(id.Occurrence)
	if in == nil {
		return nil
	}
	for _, step := range in.steps {
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
	before := countOf(task)
	task.State = next
	task.Run = run
	s.count(task.Step.Job, countOf(task).minus(before))
}

func (s *state) addRun(run *Run) {
	held := s.loads[run.WorkerID]
	if held == nil {
		held = &load{}
		s.loads[run.WorkerID] = held
	}
	held.used = held.used.Add(run.Task.Spec.Resources)
	place, _ := held.find(run)
	held.runs = slices.Insert(held.runs, place, run)
	run.Task.Step.Job.openRuns++
	run.Task.Step.occurrence.openRuns++
	s.runTotal++
}

func (s *state) removeRun(run *Run) {
	held := s.loads[run.WorkerID]
	held.used = held.used.Sub(run.Task.Spec.Resources)
	if place, found := held.find(run); found {
		held.runs = slices.Delete(held.runs, place, place+1)
	}
	if len(held.runs) == 0 {
		delete(s.loads, run.WorkerID)
	}
	run.Task.Step.Job.openRuns--
	run.Task.Step.occurrence.openRuns--
	run.Task.Step.noteIfOver()
	s.runTotal--
}

func (l *load) find(run *Run) (int, bool) {
	return slices.BinarySearchFunc(l.runs, run, compareRuns)
}

func (s *state) used(workerID string) api.Resources {
	if held := s.loads[workerID]; held != nil {
		return held.used
	}
	return api.Resources{}
}

func (s *state) hasRuns(workerID string) bool {
	return s.loads[workerID] != nil
}

// allRuns returns every open run in the order of their ids.
func (s *state) allRuns() []*Run {
	runs := make([]*Run, 0, s.runTotal)
	for _, held := range s.loads {
		runs = append(runs, held.runs...)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

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
