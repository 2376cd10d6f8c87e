package checker

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// taskCases are the cases of tasks: failures, order, placement, cancellations and drains.
func taskCases() []violationCase {
	return []violationCase{
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
			"a worker overfilled until a run ends", P5,
			func(f *fixture) { startAtEnd(f, 199) },
			func(f *fixture) { startAtEnd(f, 200) },
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
			"a start after a cancellation", P6,
			func(f *fixture) { cancelled(f, 3600, 3700) },
			func(f *fixture) { cancelled(f, 3400, 3500) },
		},
		{
			"a run long after a cancellation", P6,
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

// startAtEnd fills a worker and starts another task there, about when the first of
// its runs ends.
func startAtEnd(f *fixture, start int64) {
	f.submit("j", 10, task(), task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.succeed("j/s/1", "one", 1, 100, 300)
	f.succeed("j/s/2", "one", 1, start, 300)
	f.poll("j", 400, api.StateSucceeded)
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
	f.entry(calllog.KindCancel, 500, calllog.Entry{JobID: "j"})
	f.run("j/s/0", "one", 1, from, to, api.OutcomeStopped)
	f.poll("j", 7000, api.StateCancelled)
}

func drained(f *fixture, drains api.DrainConfig, start int64) {
	f.submit("j", 10, task())
	f.entry(calllog.KindConfigPut, 100, calllog.Entry{OrderID: "o", Version: 2, Config: &api.Config{Drains: drains}})
	f.succeed("j/s/0", "one", 1, start, start+100)
	f.poll("j", 7000, api.StateSucceeded)
}
