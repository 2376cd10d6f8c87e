package check

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/journal"
	"github.com/decklever/decklever/lab/ledger"
	"github.com/decklever/decklever/lab/monoclock"
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
	room := api.Resources{CPUMillis: 2000, MemoryMB: 1000}
	return &fixture{Input{
		Workers: []Worker{
			{Name: "one", Zone: "zone-1", Capacity: room, Services: []string{"swap"}, Labels: map[string]string{"rack": "a"}, Agent: "agent-1"},
			{Name: "two", Zone: "zone-2", Capacity: room, Services: []string{"swap"}, Agent: "agent-2"},
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

func endless() api.TaskSpec {
	spec := task()
	spec.UntilCancelled = true
	return spec
}

func (f *fixture) entry(kind ledger.Kind, millis int64, entry ledger.Entry) {
	entry.Kind, entry.Sent, entry.Answered = kind, at(millis-10), at(millis)
	f.Entries = append(f.Entries, entry)
}

// submit hands in a job with one step named "s".
func (f *fixture) submit(id string, millis int64, tasks ...api.TaskSpec) *api.JobSpec {
	spec := &api.JobSpec{Queue: "swaps", Steps: []api.StepSpec{{Name: "s", Tasks: tasks}}}
	f.entry(ledger.KindSubmit, millis, ledger.Entry{JobID: id, Spec: spec, Created: true})
	return spec
}

func (f *fixture) poll(id string, millis int64, state api.State) {
	f.entry(ledger.KindPoll, millis, ledger.Entry{JobID: id, State: state})
}

func (f *fixture) fault(process string, millis int64, action ledger.Action) {
	f.entry(ledger.KindFault, millis, ledger.Entry{Process: process, Action: action})
}

func (f *fixture) start(name, worker string, run uint32, millis int64) *journal.Line {
	f.Lines = append(f.Lines, journal.Line{Mono: at(millis), Event: journal.EventStart, Task: name, Run: run, WorkerID: worker + "-id", Worker: worker, Token: 1})
	return &f.Lines[len(f.Lines)-1]
}

func (f *fixture) run(name, worker string, run uint32, from, to int64, outcome api.Outcome) {
	line := *f.start(name, worker, run, from)
	line.Mono, line.Event, line.Outcome = at(to), journal.EventEnd, outcome
	f.Lines = append(f.Lines, line)
}

func (f *fixture) succeed(name, worker string, run uint32, from, to int64) {
	f.run(name, worker, run, from, to, api.OutcomeSucceeded)
}

// broken lists, for each check, what must be reported and a near case that
// must not.
var broken = []struct {
	name     string
	promise  Promise
	breaking func(*fixture)
	clean    func(*fixture)
}{
	{
		"a task that no one handed in", P1,
		func(f *fixture) { f.succeed("ghost/s/0", "one", 1, 100, 200) },
		func(*fixture) {},
	},
	{
		"two runs at once", P1,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.run("j/s/0", "one", 1, 100, 300, api.OutcomeStopped)
			f.succeed("j/s/0", "two", 2, 200, 400)
			f.poll("j", 500, api.StateSucceeded)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeStopped)
			f.succeed("j/s/0", "two", 2, 200, 400)
			f.poll("j", 500, api.StateSucceeded)
		},
	},
	{
		"a run without an end beside another", P1,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.start("j/s/0", "one", 1, 100)
			f.fault("one", 300, ledger.ActionExit)
			f.succeed("j/s/0", "two", 2, 200, 400)
			f.poll("j", 500, api.StateSucceeded)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.start("j/s/0", "one", 1, 100)
			f.fault("one", 300, ledger.ActionExit)
			f.succeed("j/s/0", "two", 2, 4000, 4100)
			f.poll("j", 5000, api.StateSucceeded)
		},
	},
	{
		"a start after a success that was shown", P1,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.fault("one", 250, ledger.ActionExit)
			f.poll("j", 300, api.StateSucceeded)
			f.succeed("j/s/0", "two", 2, 4000, 4100)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.fault("one", 250, ledger.ActionExit)
			f.succeed("j/s/0", "two", 2, 4000, 4100)
			f.poll("j", 5000, api.StateSucceeded)
		},
	},
	{
		"a start after a success on an undisturbed worker", P1,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.succeed("j/s/0", "two", 2, 300, 400)
			f.poll("j", 500, api.StateSucceeded)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeFailed)
			f.succeed("j/s/0", "two", 2, 300, 400)
			f.poll("j", 500, api.StateSucceeded)
		},
	},
	{
		"a task until cancelled that is shown as succeeded", P2,
		func(f *fixture) {
			f.submit("j", 10, endless())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.poll("j", 300, api.StateSucceeded)
		},
		func(f *fixture) {
			f.submit("j", 10, endless())
			f.succeed("j/s/0", "one", 1, 100, 200)
			for run := range uint32(5) {
				from := int64(300 + 100*run)
				f.run("j/s/0", "one", 2+run, from, from+50, api.OutcomeFailed)
			}
			f.succeed("j/s/0", "one", 7, 900, 950)
			f.entry(ledger.KindCancel, 1000, ledger.Entry{JobID: "j"})
			f.poll("j", 1100, api.StateCancelled)
		},
	},
	{
		"an accepted job that never ends", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.poll("j", 500, api.StateRunning)
		},
		func(f *fixture) {
			f.entry(ledger.KindSubmit, 10, ledger.Entry{JobID: "j", Spec: &api.JobSpec{}, Code: api.CodeOverLimit})
		},
	},
	{
		"a job wrongly shown as failed", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.poll("j", 500, api.StateFailed)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeFailed)
			f.run("j/s/0", "one", 2, 300, 350, api.OutcomeFailed)
			f.run("j/s/0", "one", 3, 400, 450, api.OutcomeFailed)
			f.poll("j", 500, api.StateFailed)
		},
	},
	{
		"a job shown as failed before its last allowed failure", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeFailed)
			f.run("j/s/0", "one", 2, 300, 350, api.OutcomeFailed)
			f.poll("j", 500, api.StateFailed)
		},
		func(f *fixture) {
			allowed := 2
			spec := task()
			spec.AllowedFailures = &allowed
			f.submit("j", 10, spec)
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeFailed)
			f.run("j/s/0", "one", 2, 300, 350, api.OutcomeFailed)
			f.poll("j", 500, api.StateFailed)
		},
	},
	{
		"a state that could not be read once a majority was back", P2,
		func(f *fixture) { slowRead(f, 15_200) },
		func(f *fixture) { slowRead(f, 14_900) },
	},
	{
		"a job wrongly shown as cancelled", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.poll("j", 500, api.StateCancelled)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.entry(ledger.KindCancel, 400, ledger.Entry{JobID: "j"})
			f.poll("j", 500, api.StateCancelled)
		},
	},
	{
		"a job shown as succeeded whose task did not run", P2,
		func(f *fixture) {
			f.submit("j", 10, task(), task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.poll("j", 500, api.StateSucceeded)
		},
		func(*fixture) {},
	},
	{
		"a final state that changes", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.poll("j", 300, api.StateSucceeded)
			f.poll("j", 400, api.StateRunning)
			f.poll("j", 500, api.StateSucceeded)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 100, 200)
			f.poll("j", 300, api.StateRunning)
			f.poll("j", 500, api.StateSucceeded)
		},
	},
	{
		"a forgotten job", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.entry(ledger.KindPoll, 100, ledger.Entry{JobID: "j", Code: api.CodeNotFound, Error: "not found"})
			f.succeed("j/s/0", "one", 1, 150, 200)
			f.poll("j", 300, api.StateSucceeded)
		},
		func(f *fixture) {
			f.entry(ledger.KindPoll, 5, ledger.Entry{JobID: "j", Code: api.CodeNotFound, Error: "not found"})
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 150, 200)
			f.poll("j", 300, api.StateSucceeded)
		},
	},
	{
		"a state that could not be read", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 150, 200)
			f.poll("j", 4000, api.StateSucceeded)
			f.Entries[1].Sent = at(900)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.succeed("j/s/0", "one", 1, 150, 200)
			f.poll("j", 4000, api.StateSucceeded)
			f.Entries[1].Sent, f.Entries[1].Wait = at(900), time.Second
		},
	},
	{
		"a resend that is answered as new", P2,
		func(f *fixture) {
			f.submit("j", 10, task())
			f.submit("j", 100, task())
			f.succeed("j/s/0", "one", 1, 150, 200)
			f.poll("j", 300, api.StateSucceeded)
		},
		func(f *fixture) {
			f.submit("j", 10, task())
			f.entry(ledger.KindSubmit, 100, ledger.Entry{JobID: "j", Resend: true})
			f.succeed("j/s/0", "one", 1, 150, 200)
			f.poll("j", 300, api.StateSucceeded)
		},
	},
	{
		"a start beyond the allowed failures", P3,
		func(f *fixture) { failTwice(f, 2, api.OutcomeFailed) },
		func(f *fixture) { failTwice(f, 3, api.OutcomeFailed) },
	},
	{
		"a lost run counts as no failure", P3,
		func(f *fixture) { failTwice(f, 1, api.OutcomeFailed) },
		func(f *fixture) { failTwice(f, 1, api.OutcomeStopped) },
	},
	{
		"a step before the one it waits on", P4,
		func(f *fixture) { twoSteps(f, 150) },
		func(f *fixture) { twoSteps(f, 200) },
	},
	{
		"a timed task too early", P4,
		func(f *fixture) { timed(f, 700) },
		func(f *fixture) { timed(f, 760) },
	},
	{
		"an overfilled worker", P5,
		func(f *fixture) { threeAtOnce(f, "one") },
		func(f *fixture) { threeAtOnce(f, "two") },
	},
	{
		"a service that the worker does not offer", P5,
		func(f *fixture) { placed(f, api.TaskSpec{Service: "other"}) },
		func(f *fixture) { placed(f, api.TaskSpec{Service: "swap"}) },
	},
	{
		"a label that the worker has not", P5,
		func(f *fixture) { placed(f, api.TaskSpec{Service: "swap", Labels: map[string]string{"rack": "b"}}) },
		func(f *fixture) {
			placed(f, api.TaskSpec{Service: "swap", Labels: map[string]string{"rack": "a", "zone": "zone-1"}})
		},
	},
	{
		"a spread rule", P5,
		func(f *fixture) { spreadOver(f, "one") },
		func(f *fixture) { spreadOver(f, "two") },
	},
	{
		"a start after a cancel", P6,
		func(f *fixture) { cancelled(f, 3600, 3700) },
		func(f *fixture) { cancelled(f, 3400, 3500) },
	},
	{
		"a run long after a cancel", P6,
		func(f *fixture) { cancelled(f, 450, 6000) },
		func(f *fixture) { cancelled(f, 450, 5000) },
	},
	{
		"a start on a drained worker", P7,
		func(f *fixture) { drained(f, api.DrainConfig{Workers: []string{"one"}}, 2200) },
		func(f *fixture) { drained(f, api.DrainConfig{Workers: []string{"one"}}, 2000) },
	},
	{
		"a start in an evacuated zone", P7,
		func(f *fixture) { drained(f, api.DrainConfig{Zones: []string{"zone-1"}}, 5200) },
		func(f *fixture) { drained(f, api.DrainConfig{Zones: []string{"zone-1"}}, 5000) },
	},
	{
		"versions that do not grow", P8,
		func(f *fixture) { f.put("a", 2, 100, ""); f.put("b", 1, 200, "") },
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 200, "") },
	},
	{
		"a resent order with another version", P8,
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("a", 2, 200, "") },
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 150, ""); f.put("a", 1, 200, "") },
	},
	{
		"two orders with one version", P8,
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 1, 105, "") },
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 105, "") },
	},
	{
		"a version that slides back", P8,
		func(f *fixture) { f.put("a", 2, 100, ""); f.read(1, 200, "") },
		func(f *fixture) { f.put("a", 2, 100, ""); f.read(2, 200, "") },
	},
	{
		"a losing content in force", P8,
		func(f *fixture) { f.put("a", 1, 100, "won"); f.read(1, 200, "lost") },
		func(f *fixture) { f.put("a", 1, 100, "won"); f.read(1, 200, "won") },
	},
	{
		"a process whose version goes back", P8,
		func(f *fixture) { f.rollout("front-1", 3, 100, 0); f.rollout("front-1", 2, 200, 0) },
		func(f *fixture) {
			f.rollout("front-1", 3, 100, 0)
			f.rollout("front-2", 2, 200, 0)
			f.rollout("front-1", 3, 300, 0)
		},
	},
	{
		"a configuration that is not in force in time", P8,
		func(f *fixture) { f.put("a", 2, 100, ""); f.rollout("front-1", 1, 2900, 700) },
		func(f *fixture) { f.put("a", 2, 100, ""); f.rollout("front-1", 1, 2900, 900) },
	},
	{
		"a started process that does not learn of the configuration in time", P8,
		func(f *fixture) {
			f.put("a", 2, 100, "")
			f.fault("front-1", 3000, ledger.ActionExit)
			f.fault("front-1", 4000, ledger.ActionStart)
			f.rollout("front-1", 0, 6100, 0)
		},
		func(f *fixture) {
			f.put("a", 2, 100, "")
			f.rollout("front-1", 2, 2900, 0)
			f.fault("front-1", 3000, ledger.ActionExit)
			f.fault("front-1", 4000, ledger.ActionStart)
			f.rollout("front-1", 0, 5900, 0)
			f.rollout("front-1", 2, 6100, 0)
		},
	},
	{
		"a woken process that does not learn of the configuration in time", P8,
		func(f *fixture) {
			f.fault("front-1", 50, ledger.ActionFreeze)
			f.put("a", 2, 100, "")
			f.fault("front-1", 4000, ledger.ActionResume)
			f.rollout("front-1", 1, 6100, 0)
		},
		func(f *fixture) {
			f.fault("front-1", 50, ledger.ActionFreeze)
			f.put("a", 2, 100, "")
			f.fault("front-1", 4000, ledger.ActionResume)
			f.rollout("front-1", 1, 5900, 0)
		},
	},
	{
		"two winners on one base", P8,
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 105, ""); f.Entries[1].Base = 0 },
		func(f *fixture) { f.put("a", 1, 100, ""); f.refuse("b", 1, 105, "other"); f.put("a", 1, 200, "") },
	},
	{
		"a refused order that is acknowledged later", P8,
		func(f *fixture) { f.refuse("a", 1, 100, ""); f.put("a", 1, 200, "") },
		func(f *fixture) { f.refuse("a", 1, 100, ""); f.refuse("a", 1, 200, "") },
	},
	{
		"an acknowledged order that is refused later", P8,
		func(f *fixture) { f.put("a", 1, 100, ""); f.refuse("a", 1, 200, "") },
		func(f *fixture) { f.put("a", 1, 100, ""); f.put("a", 1, 200, "") },
	},
	{
		"a refused content in force under an unknown version", P8,
		func(f *fixture) { f.refuse("a", 1, 100, "lost"); f.read(7, 200, "lost") },
		func(f *fixture) { f.refuse("a", 1, 100, "lost"); f.put("b", 1, 150, "lost"); f.read(1, 200, "lost") },
	},
	{
		"no service after a majority was back", P10,
		func(f *fixture) { gap(f, 7900) },
		func(f *fixture) { gap(f, 8100) },
	},
	{
		"a run of a cut-off worker that starts elsewhere too late", P11,
		func(f *fixture) { cutWorker(f, 3200, 6500) },
		func(f *fixture) { cutWorker(f, 3200, 6100) },
	},
	{
		"a run of a cut-off worker that starts elsewhere too early", P11,
		func(f *fixture) { cutWorker(f, 2300, 2600) },
		func(f *fixture) { cutWorker(f, 2300, 2800) },
	},
	{
		"a run of a cut-off worker that does not stop", P1,
		func(f *fixture) { cutWorker(f, 3600, 3500) },
		func(f *fixture) { cutWorker(f, 3400, 3500) },
	},
	{
		"a run of a killed worker that starts elsewhere too early", P11,
		func(f *fixture) { exitAndRestart(f, 2700) },
		func(f *fixture) { exitAndRestart(f, 2900) },
	},
	{
		"a run that is not started elsewhere once a majority is back", P11,
		func(f *fixture) { lostWithLeader(f, 21_100) },
		func(f *fixture) { lostWithLeader(f, 20_900) },
	},
	{
		"a frozen worker that goes on when it wakes", P1,
		func(f *fixture) { frozenWorker(f, api.OutcomeStopped, 11_500) },
		func(f *fixture) { frozenWorker(f, api.OutcomeStopped, 10_900) },
	},
	{
		"a frozen worker that ends its task when it wakes", P1,
		func(f *fixture) { frozenWorker(f, api.OutcomeSucceeded, 10_300) },
		func(f *fixture) { frozenWorker(f, api.OutcomeStopped, 10_300) },
	},
	{
		"a woken scheduler's order", P12,
		func(f *fixture) { woken(f, 19_000, 20_200) },
		func(f *fixture) { woken(f, 19_000, 20_050) },
	},
	{
		"a group member alone", P9,
		func(f *fixture) { group(f, 6000) },
		func(f *fixture) { group(f, 4000) },
	},
	{
		"no service", P10,
		func(f *fixture) { f.LoadTo = at(12_100) },
		func(f *fixture) { f.LoadTo = at(11_900) },
	},
	{
		"a lost run that is not started elsewhere", P11,
		func(f *fixture) { lostRun(f, 6500) },
		func(f *fixture) { lostRun(f, 6100) },
	},
	{
		"a run stopped behind a silent agent that is not started elsewhere", P11,
		func(f *fixture) { silentAgent(f, 6500) },
		func(f *fixture) { silentAgent(f, 6100) },
	},
	{
		"an order under a stale token", P12,
		func(f *fixture) { staleToken(f, 3700) },
		func(f *fixture) { staleToken(f, 3000) },
	},
}

// refuse is an order that lost its race, on the base that version stands on.
func (f *fixture) refuse(order string, version uint64, millis int64, queue string) {
	f.put(order, version, millis, queue)
	last := &f.Entries[len(f.Entries)-1]
	last.Version, last.Code, last.Error = 0, api.CodeLostRace, "lost"
}

func (f *fixture) rollout(process string, version uint64, millis, age int64) {
	row := api.ProcessRollout{Process: process, Version: version, AgeMillis: age}
	f.entry(ledger.KindRollout, millis, ledger.Entry{Rollout: &api.Rollout{Processes: []api.ProcessRollout{row}}})
}

func (f *fixture) link(from, to string, millis int64, action ledger.Action) {
	f.entry(ledger.KindFault, millis, ledger.Entry{Process: from, Peer: to, Action: action})
}

// twoDown has two of three schedulers away for a time.
func (f *fixture) twoDown(from, to int64) {
	f.Schedulers = []string{"s1", "s2", "s3"}
	f.fault("s1", from, ledger.ActionExit)
	f.fault("s2", from, ledger.ActionExit)
	f.fault("s2", to, ledger.ActionStart)
}

func slowRead(f *fixture, answered int64) {
	f.twoDown(500, 2990)
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 150, 200)
	f.entry(ledger.KindPoll, answered, ledger.Entry{JobID: "j", State: api.StateSucceeded})
	f.Entries[len(f.Entries)-1].Sent = at(490)
}

// gap is a load of 20 s with its only accepted submit at its start.
func gap(f *fixture, majorityBack int64) {
	f.LoadTo = at(20_000)
	f.twoDown(500, majorityBack)
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 150, 200)
	f.poll("j", 300, api.StateSucceeded)
}

// cutWorker has a worker cut off its agent, and its run stopped at the end of
// its hold or cut off with it.
func cutWorker(f *fixture, stopped, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, stopped, api.OutcomeStopped)
	f.link("agent-1", "one", 200, ledger.ActionCut)
	f.link("agent-1", "one", 12_000, ledger.ActionHeal)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// frozenWorker has a run's worker frozen for 10 s while the task runs elsewhere.
func frozenWorker(f *fixture, outcome api.Outcome, ended int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, ended, outcome)
	f.fault("one", 200, ledger.ActionFreeze)
	f.fault("one", 10_200, ledger.ActionResume)
	f.succeed("j/s/0", "two", 2, 4000, 11_800)
	f.poll("j", 12_000, api.StateSucceeded)
}

func exitAndRestart(f *fixture, again int64) {
	f.submit("j", 10, task())
	f.start("j/s/0", "one", 1, 100)
	f.fault("one", 300, ledger.ActionExit)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", again+500, api.StateSucceeded)
}

// lostWithLeader has a worker and two schedulers fall silent.
func lostWithLeader(f *fixture, again int64) {
	f.twoDown(300, 9000)
	exitAndRestart(f, again)
}

// woken has a scheduler frozen for 20 s while token 2 comes into use.
func woken(f *fixture, firstUse, start int64) {
	f.Schedulers = []string{"s1", "s2", "s3"}
	f.submit("j", 10, task(), task())
	f.fault("s1", 100, ledger.ActionFreeze)
	f.fault("s1", 20_100, ledger.ActionResume)
	f.succeed("j/s/0", "one", 1, firstUse, firstUse+100)
	f.Lines[0].Token, f.Lines[1].Token = 2, 2
	f.succeed("j/s/1", "two", 1, start, start+100)
	f.poll("j", 22_000, api.StateSucceeded)
}

func (f *fixture) put(order string, version uint64, millis int64, queue string) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "swaps" + queue}}}
	f.entry(ledger.KindConfigPut, millis, ledger.Entry{OrderID: order, Base: version - 1, Version: version, Config: config})
}

func (f *fixture) read(version uint64, millis int64, queue string) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "swaps" + queue}}}
	f.entry(ledger.KindConfigRead, millis, ledger.Entry{Version: version, Config: config})
}

func failTwice(f *fixture, allowed int, outcome api.Outcome) {
	spec := task()
	spec.AllowedFailures = &allowed
	f.submit("j", 10, spec)
	f.run("j/s/0", "one", 1, 100, 200, outcome)
	f.run("j/s/0", "one", 2, 300, 400, outcome)
	f.succeed("j/s/0", "one", 3, 500, 600)
	f.poll("j", 700, api.StateSucceeded)
}

func twoSteps(f *fixture, second int64) {
	spec := f.submit("j", 10, task())
	spec.Steps = append(spec.Steps, api.StepSpec{Name: "t", After: []string{"s"}, Tasks: []api.TaskSpec{task()}})
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/t/0", "two", 1, second, 300)
	f.poll("j", 400, api.StateSucceeded)
}

func timed(f *fixture, start int64) {
	notBefore := time.Unix(1001, 0)
	f.submit("j", 10, task()).Steps[0].NotBefore = &notBefore
	f.succeed("j/s/0", "one", 1, start, 1200)
	f.poll("j", 1300, api.StateSucceeded)
}

func threeAtOnce(f *fixture, third string) {
	f.submit("j", 10, task(), task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/s/1", "one", 1, 110, 210)
	f.succeed("j/s/2", third, 1, 120, 220)
	f.poll("j", 300, api.StateSucceeded)
}

func placed(f *fixture, spec api.TaskSpec) {
	f.submit("j", 10, spec)
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.poll("j", 300, api.StateSucceeded)
}

func spreadOver(f *fixture, second string) {
	spec := task()
	spec.Spread = &api.Spread{By: api.SpreadByZone}
	f.submit("j", 10, spec, spec)
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/s/1", second, 1, 150, 250)
	f.poll("j", 300, api.StateSucceeded)
}

func cancelled(f *fixture, from, to int64) {
	f.submit("j", 10, task())
	f.entry(ledger.KindCancel, 500, ledger.Entry{JobID: "j"})
	f.run("j/s/0", "one", 1, from, to, api.OutcomeStopped)
	f.poll("j", 7000, api.StateCancelled)
}

func drained(f *fixture, drains api.DrainConfig, start int64) {
	f.submit("j", 10, task())
	f.entry(ledger.KindConfigPut, 100, ledger.Entry{OrderID: "o", Version: 2, Config: &api.Config{Drains: drains}})
	f.succeed("j/s/0", "one", 1, start, start+100)
	f.poll("j", 7000, api.StateSucceeded)
}

func group(f *fixture, second int64) {
	f.submit("j", 10, task(), task()).Steps[0].Together = true
	f.succeed("j/s/0", "one", 1, 100, 7000)
	f.succeed("j/s/1", "two", 1, second, 7000)
	f.poll("j", 8000, api.StateSucceeded)
}

func lostRun(f *fixture, again int64) {
	f.submit("j", 10, task())
	f.start("j/s/0", "one", 1, 100)
	f.fault("one", 200, ledger.ActionExit)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func silentAgent(f *fixture, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 3200, api.OutcomeStopped)
	f.fault("agent-1", 200, ledger.ActionExit)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func staleToken(f *fixture, start int64) {
	f.submit("j", 10, task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.Lines[0].Token, f.Lines[1].Token = 2, 2
	f.succeed("j/s/1", "two", 1, start, start+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func TestEachCheckReportsItsBrokenPromise(t *testing.T) {
	for _, test := range broken {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.breaking(f)
			violations := All(f.Input).Violations
			if len(violations) == 0 {
				t.Fatalf("nothing was reported, want %s", test.promise)
			}
			for _, violation := range violations {
				if violation.Promise != test.promise {
					t.Errorf("reported %v, want %s only", violation, test.promise)
				}
			}
		})
	}
}

func TestNoCheckReportsWhatIsRight(t *testing.T) {
	for _, test := range broken {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.clean(f)
			for _, violation := range All(f.Input).Violations {
				t.Errorf("reported %v", violation)
			}
		})
	}
}

func TestDuplicateSuccessBehindAKillIsCountedApart(t *testing.T) {
	f := newFixture()
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.fault("one", 250, ledger.ActionExit)
	f.succeed("j/s/0", "two", 2, 4000, 4100)
	f.poll("j", 5000, api.StateSucceeded)
	result := All(f.Input)
	if result.DuplicateSuccesses != 1 || len(result.Violations) != 0 {
		t.Fatalf("%d duplicates and violations %v, want 1 and none", result.DuplicateSuccesses, result.Violations)
	}
}

func TestGapsAreMeasuredWithinTheLoad(t *testing.T) {
	f := newFixture()
	f.submit("a", 100, task())
	f.submit("b", 700, task())
	result := All(f.Input)
	if result.LongestSubmitGap != 600*time.Millisecond || result.LongestStartGap != time.Second {
		t.Fatalf("gaps are %v and %v, want 600ms and 1s", result.LongestSubmitGap, result.LongestStartGap)
	}
}
