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

// run is a journalled run with the time at which it surely was over.
type run struct {
	eventlog.Run
	name eventlog.TaskName
	// endedBy is the time of the end line, else when its worker exited, else
	// the end of observation.
	endedBy monoclock.Nanos
	// lost is true if the run has no end line and its worker exited.
	lost bool
	// frozen is true if the worker was frozen at the end and stopped the run
	// when it woke; then over is when it was frozen.
	frozen bool
}

// jobFacts is all that is known about one job.
type jobFacts struct {
	id   string
	spec *api.JobSpec
	// submits, polls and cancels are in the order of their answers.
	submits, polls, cancels []calllog.Entry
	// accepted is when the first accepting answer came; 0 if none did.
	accepted monoclock.Nanos
	// cancelled is when the first accepting answer to a cancel came; 0 if none
	// did. cancelSent is when the first cancel left; 0 if none did.
	cancelled, cancelSent monoclock.Nanos
}

// lastState returns the last observed state; empty if none was seen.
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

// facts is an Input, sorted out.
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
	// noMajority and silent are what withoutMajority and silences found.
	noMajority  []span
	unreachable map[string][]span
	// isolated is what isolatedSpans found, by worker.
	isolated map[string][]span
	// uninformed is what informedSince found, by process.
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

func (f *facts) endedBy(logged eventlog.Run) (over monoclock.Nanos, cut bool) {
	if logged.End != 0 {
		return logged.End, false
	}
	if exit := firstAfter(f.exits[logged.Worker], logged.Mono); exit != 0 {
		return exit, true
	}
	return f.input.EndedAt, false
}

// spec returns the description of a task that a caller handed in, or nil.
func (f *facts) spec(name eventlog.TaskName) *api.TaskSpec {
	job, found := f.jobs[name.Job]
	if !found || job.spec == nil {
		return nil
	}
	return job.task(name)
}

// schedulerLease is how long a worker may run on after its last accepted heartbeat, as
// the scheduler reckons.
func (f *facts) schedulerLease() time.Duration {
	hold := cmp.Or(f.input.Config.Timings.Hold.Std(), defaultLease)
	return hold + cmp.Or(f.input.Config.Timings.DriftMargin.Std(), defaultDrift)
}

// disturbed reports whether a fault hit the run's worker or its agent so near
// to a time that a report of that time may never have been acknowledged.
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

// firstAfter returns the first of sorted times that lies after a time; 0 if
// none does.
func firstAfter(times []monoclock.Nanos, after monoclock.Nanos) monoclock.Nanos {
	for _, at := range times {
		if at > after {
			return at
		}
	}
	return 0
}
