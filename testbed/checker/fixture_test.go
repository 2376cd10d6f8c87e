package checker

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// at is a time of the fixture, in milliseconds after its start.
func at(millis int64) monoclock.Nanos {
	return monoclock.Nanos(0).Add(time.Duration(1000+millis) * time.Millisecond)
}

// fixture is an observed fleet; the methods add to what was observed.
type fixture struct {
	Input
}

func newFixture() *fixture {
	capacity := api.Resources{CPUMillis: 2000, MemoryMB: 1000}
	return &fixture{Input{
		Workers: []Worker{
			{Name: "one", Zone: "zone-1", Capacity: capacity, Services: []string{"swap"}, Labels: map[string]string{"rack": "a"}, Agent: "agent-1"},
			{Name: "two", Zone: "zone-2", Capacity: capacity, Services: []string{"swap"}, Agent: "agent-2"},
		},
		Config:   api.Config{Queues: []api.QueueConfig{{Name: "swaps"}}},
		Anchor:   monoclock.Anchor{Mono: at(0), Wall: time.Unix(1000, 0)},
		LoadFrom: at(0),
		LoadTo:   at(1000),
		EndedAt:  at(60_000),
	}}
}

func task() api.TaskSpec {
	return api.TaskSpec{Service: "swap", Resources: api.Resources{CPUMillis: 1000, MemoryMB: 100}}
}

func untilCancelled() api.TaskSpec {
	spec := task()
	spec.UntilCancelled = true
	return spec
}

func (f *fixture) entry(kind calllog.Kind, millis int64, entry calllog.Entry) {
	entry.Kind, entry.Sent, entry.Answered = kind, at(millis-10), at(millis)
	f.Entries = append(f.Entries, entry)
}

// submit submits a job with one step named "s".
func (f *fixture) submit(id string, millis int64, tasks ...api.TaskSpec) *api.JobSpec {
	spec := &api.JobSpec{Queue: "swaps", Steps: []api.StepSpec{{Name: "s", Tasks: tasks}}}
	f.entry(calllog.KindSubmit, millis, calllog.Entry{JobID: id, Spec: spec, Created: true})
	return spec
}

func (f *fixture) poll(id string, millis int64, state api.State) {
	f.entry(calllog.KindPoll, millis, calllog.Entry{JobID: id, State: state})
}

func (f *fixture) fault(process string, millis int64, action calllog.Action) {
	f.entry(calllog.KindFault, millis, calllog.Entry{Process: process, Action: action})
}

func (f *fixture) start(name, worker string, run uint32, millis int64) *eventlog.Event {
	f.Events = append(f.Events, eventlog.Event{Mono: at(millis), Kind: eventlog.KindStart, Task: name, Run: run, WorkerID: worker + "-id", Worker: worker, Token: 1})
	return &f.Events[len(f.Events)-1]
}

func (f *fixture) run(name, worker string, run uint32, from, to int64, outcome api.Outcome) {
	line := *f.start(name, worker, run, from)
	line.Mono, line.Kind, line.Outcome = at(to), eventlog.KindEnd, outcome
	f.Events = append(f.Events, line)
}

func (f *fixture) succeed(name, worker string, run uint32, from, to int64) {
	f.run(name, worker, run, from, to, api.OutcomeSucceeded)
}

func (f *fixture) put(order string, version uint64, millis int64, queue string) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "swaps" + queue}}}
	f.entry(calllog.KindConfigPut, millis, calllog.Entry{OrderID: order, Base: version - 1, Version: version, Config: config})
}

func (f *fixture) read(version uint64, millis int64, queue string) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "swaps" + queue}}}
	f.entry(calllog.KindConfigRead, millis, calllog.Entry{Version: version, Config: config})
}

// refuse is an order that lost its race, on the base that version stands on.
func (f *fixture) refuse(order string, version uint64, millis int64, queue string) {
	f.put(order, version, millis, queue)
	last := &f.Entries[len(f.Entries)-1]
	last.Version, last.Code, last.Error = 0, api.CodeLostRace, "lost"
}

func (f *fixture) rollout(process string, version uint64, millis, age int64) {
	row := api.ProcessRollout{Process: process, Version: version, AgeMillis: age}
	f.entry(calllog.KindRollout, millis, calllog.Entry{Rollout: &api.Rollout{Processes: []api.ProcessRollout{row}}})
}

func (f *fixture) link(from, to string, millis int64, action calllog.Action) {
	f.entry(calllog.KindFault, millis, calllog.Entry{Process: from, Peer: to, Action: action})
}

// twoDown has two of three schedulers away for a time.
func (f *fixture) twoDown(from, to int64) {
	f.Schedulers = []string{"s1", "s2", "s3"}
	f.fault("s1", from, calllog.ActionExit)
	f.fault("s2", from, calllog.ActionExit)
	f.fault("s2", to, calllog.ActionStart)
}
