package checker

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// jobCases are the cases of jobs: which tasks ran and what callers were shown.
func jobCases() []violationCase {
	return []violationCase{
		{
			"a task that no one submitted", P1,
			func(f *fixture) { f.succeed("ghost/s/0", "one", 1, 100, 200) },
			func(*fixture) {},
		},
		{
			"two overlapping runs", P1,
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
			"a run without an end event that overlaps another", P1,
			func(f *fixture) {
				f.submit("j", 10, task())
				f.start("j/s/0", "one", 1, 100)
				f.fault("one", 300, calllog.ActionExit)
				f.succeed("j/s/0", "two", 2, 200, 400)
				f.poll("j", 500, api.StateSucceeded)
			},
			func(f *fixture) {
				f.submit("j", 10, task())
				f.start("j/s/0", "one", 1, 100)
				f.fault("one", 300, calllog.ActionExit)
				f.succeed("j/s/0", "two", 2, 4000, 4100)
				f.poll("j", 5000, api.StateSucceeded)
			},
		},
		{
			"a start after a success that was shown", P1,
			func(f *fixture) {
				f.submit("j", 10, task())
				f.succeed("j/s/0", "one", 1, 100, 200)
				f.fault("one", 250, calllog.ActionExit)
				f.poll("j", 300, api.StateSucceeded)
				f.succeed("j/s/0", "two", 2, 4000, 4100)
			},
			func(f *fixture) {
				f.submit("j", 10, task())
				f.succeed("j/s/0", "one", 1, 100, 200)
				f.fault("one", 250, calllog.ActionExit)
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
			"a task that runs until cancelled, shown as succeeded", P2,
			func(f *fixture) {
				f.submit("j", 10, untilCancelledTask())
				f.succeed("j/s/0", "one", 1, 100, 200)
				f.poll("j", 300, api.StateSucceeded)
			},
			func(f *fixture) {
				f.submit("j", 10, untilCancelledTask())
				f.succeed("j/s/0", "one", 1, 100, 200)
				for run := range uint32(5) {
					from := int64(300 + 100*run)
					f.run("j/s/0", "one", 2+run, from, from+50, api.OutcomeFailed)
				}
				f.succeed("j/s/0", "one", 7, 900, 950)
				f.addEntry(calllog.KindCancel, 1000, calllog.Entry{JobID: "j"})
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
				f.addEntry(calllog.KindSubmit, 10, calllog.Entry{JobID: "j", Spec: &api.JobSpec{}, Code: api.CodeOverLimit})
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
			"a state that could not be read once a majority was connected again", P2,
			func(f *fixture) { readAcrossOutage(f, 15_200) },
			func(f *fixture) { readAcrossOutage(f, 14_900) },
		},
		{
			"a job wrongly shown as cancelled", P2,
			func(f *fixture) {
				f.submit("j", 10, task())
				f.poll("j", 500, api.StateCancelled)
			},
			func(f *fixture) {
				f.submit("j", 10, task())
				f.addEntry(calllog.KindCancel, 400, calllog.Entry{JobID: "j"})
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
			"an accepted job answered as not found", P2,
			func(f *fixture) {
				f.submit("j", 10, task())
				f.addEntry(calllog.KindPoll, 100, calllog.Entry{JobID: "j", Code: api.CodeNotFound, Error: "not found"})
				f.succeed("j/s/0", "one", 1, 150, 200)
				f.poll("j", 300, api.StateSucceeded)
			},
			func(f *fixture) {
				f.addEntry(calllog.KindPoll, 5, calllog.Entry{JobID: "j", Code: api.CodeNotFound, Error: "not found"})
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
			"a resent job answered as new", P2,
			func(f *fixture) {
				f.submit("j", 10, task())
				f.submit("j", 100, task())
				f.succeed("j/s/0", "one", 1, 150, 200)
				f.poll("j", 300, api.StateSucceeded)
			},
			func(f *fixture) {
				f.submit("j", 10, task())
				f.addEntry(calllog.KindSubmit, 100, calllog.Entry{JobID: "j", Resend: true})
				f.succeed("j/s/0", "one", 1, 150, 200)
				f.poll("j", 300, api.StateSucceeded)
			},
		},
	}
}

// readAcrossOutage polls a job just before two of three schedulers exit; the answer
// comes at answered.
func readAcrossOutage(f *fixture, answered int64) {
	f.stopTwoSchedulers(500, 2990)
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 150, 200)
	f.addEntry(calllog.KindPoll, answered, calllog.Entry{JobID: "j", State: api.StateSucceeded})
	f.Entries[len(f.Entries)-1].Sent = at(490)
}
