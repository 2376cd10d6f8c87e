package checker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// run is a logged run with the time by which it had certainly ended.
type run struct {
	eventlog.Run
	name eventlog.TaskName
	// endedBy is the time of the end event. Without an end event it is the exit of the
	// worker, or the end of the observation if the worker did not exit.
	endedBy monoclock.Nanos
	// lost is true if the run has no end event and its worker exited.
	lost bool
	// frozen is true if the worker was frozen during the run and stopped the run when
	// it resumed; endedBy is then the time of the freeze.
	frozen bool
}

// jobFacts holds what the history contains about one job.
type jobFacts struct {
	id   string
	spec *api.JobSpec
	// submits, polls and cancels are sorted by the time of the answer.
	submits, polls, cancels []calllog.Entry
	// acceptedAt is the time of the first answer that accepted the job; 0 if there was
	// none.
	acceptedAt monoclock.Nanos
	// cancelledAt is the time of the first answer that accepted a cancellation;
	// cancelSentAt is when the first cancellation was sent. Each is 0 if there was
	// none.
	cancelledAt, cancelSentAt monoclock.Nanos
}

// lastState returns the last observed state; empty if none was observed.
func (j *jobFacts) lastState() api.State {
	state := api.State("")
	for _, poll := range j.polls {
		if poll.State != "" {
			state = poll.State
		}
	}
	return state
}

// step returns the step with a name, or nil.
func (j *jobFacts) step(name string) *api.StepSpec {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].Name == name {
			return &j.spec.Steps[i]
		}
	}
	return nil
}

// task returns the specification of a task, or nil if the job has no such task.
func (j *jobFacts) task(name eventlog.TaskName) *api.TaskSpec {
	step := j.step(name.Step)
	if step == nil || name.Index < 0 || name.Index >= step.TaskCount() {
		return nil
	}
	return step.TaskAt(name.Index)
}

// facts indexes an Input by process, job and task. It is built once for each verdict;
// the last fields of the struct cache results of methods.
type facts struct {
	input   Input
	workers map[string]Worker
	// exits and faults are by process name, sorted by time.
	exits, faults map[string][]monoclock.Nanos
	faultEntries  []calllog.Entry
	jobs          map[string]*jobFacts
	jobIDs        []string
	// runs are sorted by start; byTask holds the same runs by task.
	runs         []run
	byTask       map[string][]run
	unknownTasks []eventlog.Event
	// noMajority caches withoutMajority; unreachable caches unreachableSpans by worker.
	noMajority  []span
	unreachable map[string][]span
	// isolated caches isolatedSpans by worker.
	isolated map[string][]span
	// disconnected caches, by process, the spans that connectedSince searches.
	disconnected map[string][]span
}

func newFacts(input Input) *facts {
	f := &facts{
		input:        input,
		workers:      map[string]Worker{},
		exits:        map[string][]monoclock.Nanos{},
		faults:       map[string][]monoclock.Nanos{},
		jobs:         map[string]*jobFacts{},
		byTask:       map[string][]run{},
		unreachable:  map[string][]span{},
		isolated:     map[string][]span{},
		disconnected: map[string][]span{},
	}
	f.input.Entries = slices.Clone(input.Entries)
	slices.SortStableFunc(f.input.Entries, func(a, b calllog.Entry) int { return cmp.Compare(a.Answered, b.Answered) })
	f.input.Events = slices.Clone(input.Events)
	eventlog.Sort(f.input.Events)
	for _, worker := range input.Workers {
		f.workers[worker.Name] = worker
	}
	for _, entry := range f.input.Entries {
		f.addEntry(entry)
	}
	f.jobIDs = slices.Sorted(maps.Keys(f.jobs))
	f.addRuns()
	return f
}

func (f *facts) addEntry(entry calllog.Entry) {
	switch entry.Kind {
	case calllog.KindFault:
		f.faultEntries = append(f.faultEntries, entry)
		if entry.Action == calllog.ActionExit {
			f.exits[entry.Process] = append(f.exits[entry.Process], entry.Answered)
		}
		f.faults[entry.Process] = append(f.faults[entry.Process], entry.Answered)
	case calllog.KindSubmit:
		job := f.job(entry.JobID)
		if job.spec == nil {
			job.spec = entry.Spec
		}
		job.submits = append(job.submits, entry)
		if entry.Accepted() && job.acceptedAt == 0 {
			job.acceptedAt = entry.Answered
		}
	case calllog.KindPoll:
		job := f.job(entry.JobID)
		job.polls = append(job.polls, entry)
	case calllog.KindCancel:
		job := f.job(entry.JobID)
		job.cancels = append(job.cancels, entry)
		if job.cancelSentAt == 0 || entry.Sent < job.cancelSentAt {
			job.cancelSentAt = entry.Sent
		}
		if entry.Accepted() && job.cancelledAt == 0 {
			job.cancelledAt = entry.Answered
		}
	}
}

func (f *facts) job(id string) *jobFacts {
	job, found := f.jobs[id]
	if !found {
		job = &jobFacts{id: id}
		f.jobs[id] = job
	}
	return job
}

func (f *facts) addRuns() {
	for _, logged := range eventlog.Runs(f.input.Events) {
		name, err := eventlog.ParseTask(logged.Task)
		if err != nil || f.spec(name) == nil {
			f.unknownTasks = append(f.unknownTasks, logged.Event)
			continue
		}
		taskRun := run{Run: logged, name: name}
		taskRun.endedBy, taskRun.lost = f.endedBy(logged)
		if since := f.frozenSince(taskRun.Worker, taskRun.Mono, taskRun.End, taskRun.Outcome); since != 0 {
			taskRun.endedBy, taskRun.frozen = since, true
		}
		f.runs = append(f.runs, taskRun)
		f.byTask[taskRun.Task] = append(f.byTask[taskRun.Task], taskRun)
	}
}

// endedBy returns the values of run.endedBy and run.lost, without regard to freezes.
func (f *facts) endedBy(logged eventlog.Run) (endedBy monoclock.Nanos, lost bool) {
	if logged.End != 0 {
		return logged.End, false
	}
	if exit := firstAfter(f.exits[logged.Worker], logged.Mono); exit != 0 {
		return exit, true
	}
	return f.input.EndedAt, false
}

// spec returns the specification of a task that a caller submitted, or nil.
func (f *facts) spec(name eventlog.TaskName) *api.TaskSpec {
	job, found := f.jobs[name.Job]
	if !found || job.spec == nil {
		return nil
	}
	return job.task(name)
}

// schedulerLease is how long after its last accepted heartbeat the scheduler assumes
// that a worker may still run tasks: the lease and the margin for clock drift.
func (f *facts) schedulerLease() time.Duration {
	lease := cmp.Or(f.input.Config.Timings.Hold.Std(), defaultLease)
	return lease + cmp.Or(f.input.Config.Timings.DriftMargin.Std(), defaultDriftMargin)
}

// disturbed reports whether, within a scheduler lease of a time, a fault hit the run's
// worker or its agent or the worker was unreachable. A report sent at that time may
// never have been acknowledged.
func (f *facts) disturbed(taskRun run, at monoclock.Nanos) bool {
	from, to := at.Add(-f.schedulerLease()), at.Add(f.schedulerLease())
	for _, process := range []string{taskRun.Worker, f.workers[taskRun.Worker].Agent} {
		for _, fault := range f.faults[process] {
			if fault >= from && fault <= to {
				return true
			}
		}
	}
	for _, unreachable := range f.unreachableSpans(taskRun.Worker) {
		if unreachable.overlaps(from, to) {
			return true
		}
	}
	return false
}

// firstAfter returns the first of the sorted times that is later than a time; 0 if
// there is none.
func firstAfter(times []monoclock.Nanos, after monoclock.Nanos) monoclock.Nanos {
	for _, at := range times {
		if at > after {
			return at
		}
	}
	return 0
}
