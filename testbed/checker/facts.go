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

// run is a logged run with the time by which it had surely ended.
type run struct {
	eventlog.Run
	name eventlog.TaskName
	// endedBy is the time of the end event, else when its worker exited, else the end
	// of the observation.
	endedBy monoclock.Nanos
	// lost is true if the run has no end event and its worker exited.
	lost bool
	// frozen is true if the worker was frozen during the run and stopped it when it
	// resumed; then endedBy is when it was frozen.
	frozen bool
}

// jobFacts is all that is known about one job.
type jobFacts struct {
	id   string
	spec *api.JobSpec
	// submits, polls and cancels are in the order of their answers.
	submits, polls, cancels []calllog.Entry
	// accepted is the time of the first accepting answer; 0 if there was none.
	accepted monoclock.Nanos
	// cancelled is the time of the first accepting answer to a cancellation, cancelSent
	// when the first cancellation was sent; each is 0 if there was none.
	cancelled, cancelSent monoclock.Nanos
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

// step returns the step of that name, or nil.
func (j *jobFacts) step(name string) *api.StepSpec {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].Name == name {
			return &j.spec.Steps[i]
		}
	}
	return nil
}

// task returns the description of a task, or nil.
func (j *jobFacts) task(name eventlog.TaskName) *api.TaskSpec {
	step := j.step(name.Step)
	if step == nil || name.Index < 0 || name.Index >= step.TaskCount() {
		return nil
	}
	return step.TaskAt(name.Index)
}

// facts indexes an Input by process, job and task. It is built once for each verdict;
// the fields that end the struct are caches of methods.
type facts struct {
	input   Input
	workers map[string]Worker
	// exits and faults are by process name, in the order of time.
	exits, faults map[string][]monoclock.Nanos
	faultEntries  []calllog.Entry
	jobs          map[string]*jobFacts
	jobIDs        []string
	// runs are in the order of their starts; byTask is the same by task.
	runs         []run
	byTask       map[string][]run
	unknownTasks []eventlog.Event
	// noMajority caches withoutMajority, unreachable caches unreachableSpans by worker.
	noMajority  []span
	unreachable map[string][]span
	// isolated caches isolatedSpans, by worker.
	isolated map[string][]span
	// uninformed caches what informedSince looks up, by process.
	uninformed map[string][]span
}

func newFacts(input Input) *facts {
	f := &facts{
		input:       input,
		workers:     map[string]Worker{},
		exits:       map[string][]monoclock.Nanos{},
		faults:      map[string][]monoclock.Nanos{},
		jobs:        map[string]*jobFacts{},
		byTask:      map[string][]run{},
		unreachable: map[string][]span{},
		isolated:    map[string][]span{},
		uninformed:  map[string][]span{},
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
		if entry.Accepted() && job.accepted == 0 {
			job.accepted = entry.Answered
		}
	case calllog.KindPoll:
		job := f.job(entry.JobID)
		job.polls = append(job.polls, entry)
	case calllog.KindCancel:
		job := f.job(entry.JobID)
		job.cancels = append(job.cancels, entry)
		if job.cancelSent == 0 || entry.Sent < job.cancelSent {
			job.cancelSent = entry.Sent
		}
		if entry.Accepted() && job.cancelled == 0 {
			job.cancelled = entry.Answered
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
		one := run{Run: logged, name: name}
		one.endedBy, one.lost = f.endedBy(logged)
		if since := f.frozenSince(one.Worker, one.Mono, one.End, one.Outcome); since != 0 {
			one.endedBy, one.frozen = since, true
		}
		f.runs = append(f.runs, one)
		f.byTask[one.Task] = append(f.byTask[one.Task], one)
	}
}

func (f *facts) endedBy(logged eventlog.Run) (endedBy monoclock.Nanos, lost bool) {
	if logged.End != 0 {
		return logged.End, false
	}
	if exit := firstAfter(f.exits[logged.Worker], logged.Mono); exit != 0 {
		return exit, true
	}
	return f.input.EndedAt, false
}

// spec returns the description of a task that a caller submitted, or nil.
func (f *facts) spec(name eventlog.TaskName) *api.TaskSpec {
	job, found := f.jobs[name.Job]
	if !found || job.spec == nil {
		return nil
	}
	return job.task(name)
}

// schedulerLease is how long a worker may run on after its last accepted heartbeat, by
// the scheduler's reckoning: its lease and the margin for clock drift.
func (f *facts) schedulerLease() time.Duration {
	lease := cmp.Or(f.input.Config.Timings.Hold.Std(), defaultLease)
	return lease + cmp.Or(f.input.Config.Timings.DriftMargin.Std(), defaultDrift)
}

// disturbed reports whether a fault hit the run's worker or its agent so near to a time
// that a report of that time may never have been acknowledged.
func (f *facts) disturbed(one run, at monoclock.Nanos) bool {
	from, to := at.Add(-f.schedulerLease()), at.Add(f.schedulerLease())
	for _, process := range []string{one.Worker, f.workers[one.Worker].Agent} {
		for _, fault := range f.faults[process] {
			if fault >= from && fault <= to {
				return true
			}
		}
	}
	for _, unreachable := range f.unreachableSpans(one.Worker) {
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
