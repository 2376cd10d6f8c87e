package checker

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// faultCases are the cases of faults: service, gangs, unreachable workers, freezes and stale tokens.
func faultCases() []violationCase {
	return []violationCase{
		{
			"no service after a majority was back", P10,
			func(f *fixture) { gap(f, 7900) },
			func(f *fixture) { gap(f, 8100) },
		},
		{
			"a run of a partitioned worker that starts elsewhere too late", P11,
			func(f *fixture) { partitionWorker(f, 3200, 6500) },
			func(f *fixture) { partitionWorker(f, 3200, 6100) },
		},
		{
			"a run of a partitioned worker that starts elsewhere too early", P11,
			func(f *fixture) { partitionWorker(f, 2300, 2600) },
			func(f *fixture) { partitionWorker(f, 2300, 2800) },
		},
		{
			"a run of a worker reachable again only after its start elsewhere", P11,
			func(f *fixture) { reachableAgain(f, 2700) },
			func(f *fixture) { reachableAgain(f, 1400) },
		},
		{
			"a run stopped as the worker was reachable again that starts elsewhere at once", P11,
			func(f *fixture) { reachableAgain(f, 2601) },
			func(f *fixture) { reachableAgain(f, 2550) },
		},
		{
			"a failure that cannot have been reported, retried too early", P11,
			func(f *fixture) { unreportedEnd(f, api.OutcomeFailed, 1500) },
			func(f *fixture) { unreportedEnd(f, api.OutcomeFailed, 2800) },
		},
		{
			"a stop that cannot have been reported, and a start elsewhere too early", P11,
			func(f *fixture) { unreportedEnd(f, api.OutcomeStopped, 1500) },
			func(f *fixture) { unreportedEnd(f, api.OutcomeStopped, 2800) },
		},
		{
			"a failure after the agent had ended, tried again too early", P11,
			func(f *fixture) { endedBehind(f, "agent-1", 700, 1500) },
			func(f *fixture) { endedBehind(f, "agent-1", 700, 3300) },
		},
		{
			"a failure while the agent ends, tried again at once", P11,
			func(f *fixture) { endedBehind(f, "agent-1", 890, 1500) },
			func(f *fixture) { endedBehind(f, "agent-1", 1100, 1500) },
		},
		{
			"a failure behind an agent that was killed, tried again too early", P11,
			func(f *fixture) { killedBehind(f, 1500) },
			func(f *fixture) { killedBehind(f, 2800) },
		},
		{
			"a run of a partitioned worker that does not stop", P1,
			func(f *fixture) { partitionWorker(f, 3600, 3500) },
			func(f *fixture) { partitionWorker(f, 3400, 3500) },
		},
		{
			"a run of a killed worker that starts elsewhere too early", P11,
			func(f *fixture) { exitAndRestart(f, 2700) },
			func(f *fixture) { exitAndRestart(f, 2900) },
		},
		{
			"a run that is not started elsewhere once a majority is back", P11,
			func(f *fixture) { loseWorkerAndLeader(f, 21_100) },
			func(f *fixture) { loseWorkerAndLeader(f, 20_900) },
		},
		{
			"a frozen worker that goes on when it resumes", P1,
			func(f *fixture) { frozenWorker(f, api.OutcomeStopped, 11_500) },
			func(f *fixture) { frozenWorker(f, api.OutcomeStopped, 10_900) },
		},
		{
			"a frozen worker that ends its task when it resumes", P1,
			func(f *fixture) { frozenWorker(f, api.OutcomeSucceeded, 10_300) },
			func(f *fixture) { frozenWorker(f, api.OutcomeStopped, 10_300) },
		},
		{
			"a resumed scheduler's assignment", P12,
			func(f *fixture) { resumedScheduler(f, 19_000, 20_200) },
			func(f *fixture) { resumedScheduler(f, 19_000, 20_050) },
		},
		{
			"a gang member alone", P9,
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
			"a run stopped behind an unreachable agent that is not started elsewhere", P11,
			func(f *fixture) { unreachableAgent(f, 6500) },
			func(f *fixture) { unreachableAgent(f, 6100) },
		},
		{
			"an assignment under a stale token", P12,
			func(f *fixture) { staleToken(f, 3700) },
			func(f *fixture) { staleToken(f, 3000) },
		},
	}
}

// gap is a load of 20 s with its only accepted submit at its start.
func gap(f *fixture, majorityBack int64) {
	f.LoadTo = at(20_000)
	f.twoDown(500, majorityBack)
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 150, 200)
	f.poll("j", 300, api.StateSucceeded)
}

// partitionWorker partitions a worker from its agent. Its run is stopped when the
// lease expires, or lost.
func partitionWorker(f *fixture, stopped, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, stopped, api.OutcomeStopped)
	f.link("agent-1", "one", 200, calllog.ActionPartition)
	f.link("agent-1", "one", 12_000, calllog.ActionHeal)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// reachableAgain partitions a worker from its agent until some time. Its run is
// stopped before its lease expires and started elsewhere.
func reachableAgain(f *fixture, healed int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 2300, api.OutcomeStopped)
	f.link("agent-1", "one", 200, calllog.ActionPartition)
	f.link("agent-1", "one", healed, calllog.ActionHeal)
	f.succeed("j/s/0", "two", 2, 2600, 2700)
	f.poll("j", 9000, api.StateSucceeded)
}

// unreportedEnd has a run end while its worker is isolated, and the task start
// elsewhere.
func unreportedEnd(f *fixture, outcome api.Outcome, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 1000, outcome)
	f.link("one", "agent-1", 200, calllog.ActionPartition)
	f.link("one", "agent-1", 12_000, calllog.ActionHeal)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// endedBehind has a process told to end, which it does later, and a run fail on
// the worker one and start again elsewhere.
func endedBehind(f *fixture, process string, exit, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 1000, api.OutcomeFailed)
	f.fault(process, 200, calllog.ActionTerminate)
	f.fault(process, exit, calllog.ActionExit)
	f.fault(process, 12_000, calllog.ActionStart)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// killedBehind has the agent killed, and seen to be gone later.
func killedBehind(f *fixture, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 1000, api.OutcomeFailed)
	f.fault("agent-1", 200, calllog.ActionKill)
	f.fault("agent-1", 1400, calllog.ActionExit)
	f.fault("agent-1", 12_000, calllog.ActionStart)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// frozenWorker has a run's worker frozen for 10 s while the task runs elsewhere.
func frozenWorker(f *fixture, outcome api.Outcome, ended int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, ended, outcome)
	f.fault("one", 200, calllog.ActionFreeze)
	f.fault("one", 10_200, calllog.ActionResume)
	f.succeed("j/s/0", "two", 2, 4000, 11_800)
	f.poll("j", 12_000, api.StateSucceeded)
}

func exitAndRestart(f *fixture, again int64) {
	f.submit("j", 10, task())
	f.start("j/s/0", "one", 1, 100)
	f.fault("one", 300, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", again+500, api.StateSucceeded)
}

// loseWorkerAndLeader makes a worker and two schedulers unreachable.
func loseWorkerAndLeader(f *fixture, again int64) {
	f.twoDown(300, 9000)
	exitAndRestart(f, again)
}

// resumedScheduler has a scheduler frozen for 20 s while token 2 comes into use.
func resumedScheduler(f *fixture, firstUse, start int64) {
	f.Schedulers = []string{"s1", "s2", "s3"}
	f.submit("j", 10, task(), task())
	f.fault("s1", 100, calllog.ActionFreeze)
	f.fault("s1", 20_100, calllog.ActionResume)
	f.succeed("j/s/0", "one", 1, firstUse, firstUse+100)
	f.Events[0].Token, f.Events[1].Token = 2, 2
	f.succeed("j/s/1", "two", 1, start, start+100)
	f.poll("j", 22_000, api.StateSucceeded)
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
	f.fault("one", 200, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func unreachableAgent(f *fixture, again int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 3200, api.OutcomeStopped)
	f.fault("agent-1", 200, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, again, again+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func staleToken(f *fixture, start int64) {
	f.submit("j", 10, task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.Events[0].Token, f.Events[1].Token = 2, 2
	f.succeed("j/s/1", "two", 1, start, start+100)
	f.poll("j", 8000, api.StateSucceeded)
}
