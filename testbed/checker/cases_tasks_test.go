package checker

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// taskCases are the cases of tasks: failures, order, placement, cancellations and
// drains.
func taskCases() []violationCase {
	return []violationCase{
		{
			"a start beyond the allowed failures", P3,
			func(f *fixture) { failTwice(f, 2, api.OutcomeFailed) },
			func(f *fixture) { failTwice(f, 3, api.OutcomeFailed) },
		},
		{
			"a stopped run does not count as a failure", P3,
			func(f *fixture) { failTwice(f, 1, api.OutcomeFailed) },
			func(f *fixture) { failTwice(f, 1, api.OutcomeStopped) },
		},
		{
			"a step that starts before the step it depends on succeeded", P4,
			func(f *fixture) { runTwoSteps(f, 150) },
			func(f *fixture) { runTwoSteps(f, 200) },
		},
		{
			"a timed task that starts too early", P4,
			func(f *fixture) { runTimed(f, 700) },
			func(f *fixture) { runTimed(f, 760) },
		},
		{
			"a worker over its capacity", P5,
			func(f *fixture) { runThree(f, "one") },
			func(f *fixture) { runThree(f, "two") },
		},
		{
			"a worker over its capacity until a run ends", P5,
			func(f *fixture) { startNearEnd(f, 199) },
			func(f *fixture) { startNearEnd(f, 200) },
		},
		{
			"a service that the worker does not offer", P5,
			func(f *fixture) { runOnWorkerOne(f, api.TaskSpec{Service: "other"}) },
			func(f *fixture) { runOnWorkerOne(f, api.TaskSpec{Service: "swap"}) },
		},
		{
			"a label that the worker does not have", P5,
			func(f *fixture) {
				runOnWorkerOne(f, api.TaskSpec{Service: "swap", Labels: map[string]string{"rack": "b"}})
			},
			func(f *fixture) {
				runOnWorkerOne(f, api.TaskSpec{Service: "swap", Labels: map[string]string{"rack": "a", "zone": "zone-1"}})
			},
		},
		{
			"more runs in a domain than the spread rule allows", P5,
			func(f *fixture) { runSpread(f, "one") },
			func(f *fixture) { runSpread(f, "two") },
		},
		{
			"a start too long after a cancellation", P6,
			func(f *fixture) { runAfterCancel(f, 3600, 3700) },
			func(f *fixture) { runAfterCancel(f, 3400, 3500) },
		},
		{
			"a run that continues too long after a cancellation", P6,
			func(f *fixture) { runAfterCancel(f, 450, 6000) },
			func(f *fixture) { runAfterCancel(f, 450, 5000) },
		},
		{
			"a start on a drained worker", P7,
			func(f *fixture) { runAfterDrain(f, api.DrainConfig{Workers: []string{"one"}}, 2200) },
			func(f *fixture) { runAfterDrain(f, api.DrainConfig{Workers: []string{"one"}}, 2000) },
		},
		{
			"a start in an evacuated zone", P7,
			func(f *fixture) { runAfterDrain(f, api.DrainConfig{Zones: []string{"zone-1"}}, 5200) },
			func(f *fixture) { runAfterDrain(f, api.DrainConfig{Zones: []string{"zone-1"}}, 5000) },
		},
	}
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

func runTwoSteps(f *fixture, second int64) {
	spec := f.submit("j", 10, task())
	spec.Steps = append(spec.Steps, api.StepSpec{Name: "t", After: []string{"s"}, Tasks: []api.TaskSpec{task()}})
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/t/0", "two", 1, second, 300)
	f.poll("j", 400, api.StateSucceeded)
}

func runTimed(f *fixture, start int64) {
	notBefore := time.Unix(1001, 0)
	f.submit("j", 10, task()).Steps[0].NotBefore = &notBefore
	f.succeed("j/s/0", "one", 1, start, 1200)
	f.poll("j", 1300, api.StateSucceeded)
}

func runThree(f *fixture, third string) {
	f.submit("j", 10, task(), task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/s/1", "one", 1, 110, 210)
	f.succeed("j/s/2", third, 1, 120, 220)
	f.poll("j", 300, api.StateSucceeded)
}

// startNearEnd fills a worker with two runs and starts a third task there at start; the
// first run ends at 200.
func startNearEnd(f *fixture, start int64) {
	f.submit("j", 10, task(), task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/s/1", "one", 1, 100, 300)
	f.succeed("j/s/2", "one", 1, start, 300)
	f.poll("j", 400, api.StateSucceeded)
}

func runOnWorkerOne(f *fixture, spec api.TaskSpec) {
	f.submit("j", 10, spec)
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.poll("j", 300, api.StateSucceeded)
}

func runSpread(f *fixture, second string) {
	spec := task()
	spec.Spread = &api.Spread{By: api.SpreadByZone}
	f.submit("j", 10, spec, spec)
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/s/1", second, 1, 150, 250)
	f.poll("j", 300, api.StateSucceeded)
}

func runAfterCancel(f *fixture, from, to int64) {
	f.submit("j", 10, task())
	f.addEntry(calllog.KindCancel, 500, calllog.Entry{JobID: "j"})
	f.run("j/s/0", "one", 1, from, to, api.OutcomeStopped)
	f.poll("j", 7000, api.StateCancelled)
}

func runAfterDrain(f *fixture, drains api.DrainConfig, start int64) {
	f.submit("j", 10, task())
	f.addEntry(calllog.KindConfigPut, 100, calllog.Entry{OrderID: "o", Version: 2, Config: &api.Config{Drains: drains}})
	f.succeed("j/s/0", "one", 1, start, start+100)
	f.poll("j", 7000, api.StateSucceeded)
}
