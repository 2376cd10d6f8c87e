package checker

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// at returns a time of the fixture, in milliseconds after its start.
func at(millis int64) monoclock.Nanos {
	return monoclock.Nanos(0).Add(time.Duration(1000+millis) * time.Millisecond)
}

// fixture is the recorded history of a fleet; its methods append calls, faults and
// events.
type fixture struct {
	Input
}

// newFixture returns a fleet of two workers, each with capacity for two tasks, under a
// load from 0 to 1 s. The observation ends after 60 s.
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

func untilCancelledTask() api.TaskSpec {
	spec := task()
	spec.UntilCancelled = true
	return spec
}

// addEntry records an entry answered at millis and sent 10 ms earlier.
func (f *fixture) addEntry(kind calllog.Kind, millis int64, entry calllog.Entry) {
	entry.Kind, entry.Sent, entry.Answered = kind, at(millis-10), at(millis)
	f.Entries = append(f.Entries, entry)
}

// submit records an accepted job with one step named "s".
func (f *fixture) submit(id string, millis int64, tasks ...api.TaskSpec) *api.JobSpec {
	spec := &api.JobSpec{Queue: "swaps", Steps: []api.StepSpec{{Name: "s", Tasks: tasks}}}
	f.addEntry(calllog.KindSubmit, millis, calllog.Entry{JobID: id, Spec: spec, Created: true})
	return spec
}

func (f *fixture) poll(id string, millis int64, state api.State) {
	f.addEntry(calllog.KindPoll, millis, calllog.Entry{JobID: id, State: state})
}

func (f *fixture) fault(process string, millis int64, action calllog.Action) {
	f.addEntry(calllog.KindFault, millis, calllog.Entry{Process: process, Action: action})
}

func (f *fixture) start(name, worker string, run uint32, millis int64) *eventlog.Event {
	f.Events = append(f.Events, eventlog.Event{Mono: at(millis), Kind: eventlog.KindStart, Task: name, Run: run, WorkerID: worker + "-id", Worker: worker, Token: 1})
	return &f.Events[len(f.Events)-1]
}

func (f *fixture) run(name, worker string, run uint32, from, to int64, outcome api.Outcome) {
	end := *f.start(name, worker, run, from)
	end.Mono, end.Kind, end.Outcome = at(to), eventlog.KindEnd, outcome
	f.Events = append(f.Events, end)
}

func (f *fixture) succeed(name, worker string, run uint32, from, to int64) {
	f.run(name, worker, run, from, to, api.OutcomeSucceeded)
}

func (f *fixture) putConfig(order string, version uint64, millis int64, queue string) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "swaps" + queue}}}
	f.addEntry(calllog.KindConfigPut, millis, calllog.Entry{OrderID: order, Base: version - 1, Version: version, Config: config})
}

func (f *fixture) readConfig(version uint64, millis int64, queue string) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "swaps" + queue}}}
	f.addEntry(calllog.KindConfigRead, millis, calllog.Entry{Version: version, Config: config})
}

// rejectPut records an order that lost its race. Its base is the version before the
// given one.
func (f *fixture) rejectPut(order string, version uint64, millis int64, queue string) {
	f.putConfig(order, version, millis, queue)
	last := &f.Entries[len(f.Entries)-1]
	last.Version, last.Code, last.Error = 0, api.CodeLostRace, "lost"
}

// rollout records a read of the rollout. The process reported its version age
// milliseconds before the read was sent.
func (f *fixture) rollout(process string, version uint64, millis, age int64) {
	row := api.ProcessRollout{Process: process, Version: version, AgeMillis: age}
	f.addEntry(calllog.KindRollout, millis, calllog.Entry{Rollout: &api.Rollout{Processes: []api.ProcessRollout{row}}})
}

func (f *fixture) linkFault(from, to string, millis int64, action calllog.Action) {
	f.addEntry(calllog.KindFault, millis, calllog.Entry{Process: from, Peer: to, Action: action})
}

// stopTwoSchedulers makes two of three schedulers exit; one of them starts again later,
// which restores the majority.
func (f *fixture) stopTwoSchedulers(from, to int64) {
	f.Schedulers = []string{"s1", "s2", "s3"}
	f.fault("s1", from, calllog.ActionExit)
	f.fault("s2", from, calllog.ActionExit)
	f.fault("s2", to, calllog.ActionStart)
}
