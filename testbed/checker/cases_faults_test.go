package checker

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// faultCases are the cases of faults: service gaps, gangs, unreachable workers, freezes
// and stale tokens.
func faultCases() []violationCase {
	return []violationCase{
		{
			"no service after a majority was connected again", P10,
			func(f *fixture) { submitOnce(f, 7900) },
			func(f *fixture) { submitOnce(f, 8100) },
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
			"a run that starts elsewhere too early, before its worker is reachable again", P11,
			func(f *fixture) { partitionWorkerUntil(f, 2700) },
			func(f *fixture) { partitionWorkerUntil(f, 1400) },
		},
		{
			"a run that starts elsewhere too early, 1 ms before its worker is reachable again", P11,
			func(f *fixture) { partitionWorkerUntil(f, 2601) },
			func(f *fixture) { partitionWorkerUntil(f, 2550) },
		},
		{
			"a failure that the worker could not report, retried too early", P11,
			func(f *fixture) { endRunIsolated(f, api.OutcomeFailed, 1500) },
			func(f *fixture) { endRunIsolated(f, api.OutcomeFailed, 2800) },
		},
		{
			"a stop that the worker could not report, and a start elsewhere too early", P11,
			func(f *fixture) { endRunIsolated(f, api.OutcomeStopped, 1500) },
			func(f *fixture) { endRunIsolated(f, api.OutcomeStopped, 2800) },
		},
		{
			"a failure after the agent exited, retried too early", P11,
			func(f *fixture) { failAroundTermination(f, "agent-1", 700, 1500) },
			func(f *fixture) { failAroundTermination(f, "agent-1", 700, 3300) },
		},
		{
			"a failure while the agent terminates, retried at once", P11,
			func(f *fixture) { failAroundTermination(f, "agent-1", 890, 1500) },
			func(f *fixture) { failAroundTermination(f, "agent-1", 1100, 1500) },
		},
		{
			"a failure after the agent was killed, retried too early", P11,
			func(f *fixture) { failBehindKilledAgent(f, 1500) },
			func(f *fixture) { failBehindKilledAgent(f, 2800) },
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
			"a run that is not started elsewhere once a majority is connected again", P11,
			func(f *fixture) { loseWorkerAndLeader(f, 21_100) },
			func(f *fixture) { loseWorkerAndLeader(f, 20_900) },
		},
		{
			"a frozen worker that continues its run when it resumes", P1,
			func(f *fixture) { freezeWorker(f, api.OutcomeStopped, 11_500) },
			func(f *fixture) { freezeWorker(f, api.OutcomeStopped, 10_900) },
		},
		{
			"a frozen worker whose task succeeds when it resumes", P1,
			func(f *fixture) { freezeWorker(f, api.OutcomeSucceeded, 10_300) },
			func(f *fixture) { freezeWorker(f, api.OutcomeStopped, 10_300) },
		},
		{
			"an assignment of a resumed scheduler", P12,
			func(f *fixture) { freezeScheduler(f, 19_000, 20_200) },
			func(f *fixture) { freezeScheduler(f, 19_000, 20_050) },
		},
		{
			"a gang member that runs alone", P9,
			func(f *fixture) { runGang(f, 6000) },
			func(f *fixture) { runGang(f, 4000) },
		},
		{
			"no service", P10,
			func(f *fixture) { f.LoadTo = at(12_100) },
			func(f *fixture) { f.LoadTo = at(11_900) },
		},
		{
			"a lost run that is not started elsewhere", P11,
			func(f *fixture) { loseRun(f, 6500) },
			func(f *fixture) { loseRun(f, 6100) },
		},
		{
			"a run stopped after its agent exited that is not started elsewhere", P11,
			func(f *fixture) { exitAgent(f, 6500) },
			func(f *fixture) { exitAgent(f, 6100) },
		},
		{
			"an assignment under a stale token", P12,
			func(f *fixture) { startUnderStaleToken(f, 3700) },
			func(f *fixture) { startUnderStaleToken(f, 3000) },
		},
	}
}

// submitOnce makes a load of 20 s with one accepted submission, at its start. Two of
// three schedulers are down until majorityBack.
func submitOnce(f *fixture, majorityBack int64) {
	f.LoadTo = at(20_000)
	f.stopTwoSchedulers(500, majorityBack)
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 150, 200)
	f.poll("j", 300, api.StateSucceeded)
}

// partitionWorker partitions a worker from its agent. Its run ends as stopped at stop,
// and the task starts on another worker at restart.
func partitionWorker(f *fixture, stop, restart int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, stop, api.OutcomeStopped)
	f.linkFault("agent-1", "one", 200, calllog.ActionPartition)
	f.linkFault("agent-1", "one", 12_000, calllog.ActionHeal)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// partitionWorkerUntil partitions a worker from its agent until healed. The run is
// stopped before a complete lease has passed, and the task starts on another worker.
func partitionWorkerUntil(f *fixture, healed int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 2300, api.OutcomeStopped)
	f.linkFault("agent-1", "one", 200, calllog.ActionPartition)
	f.linkFault("agent-1", "one", healed, calllog.ActionHeal)
	f.succeed("j/s/0", "two", 2, 2600, 2700)
	f.poll("j", 9000, api.StateSucceeded)
}

// endRunIsolated ends a run while its worker cannot send to its agent, and starts the
// task on another worker at restart.
func endRunIsolated(f *fixture, outcome api.Outcome, restart int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 1000, outcome)
	f.linkFault("one", "agent-1", 200, calllog.ActionPartition)
	f.linkFault("one", "agent-1", 12_000, calllog.ActionHeal)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// failAroundTermination sends a process a termination signal, after which it exits at
// exit. A run fails on the worker "one", and the task starts on another worker at
// restart.
func failAroundTermination(f *fixture, process string, exit, restart int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 1000, api.OutcomeFailed)
	f.fault(process, 200, calllog.ActionTerminate)
	f.fault(process, exit, calllog.ActionExit)
	f.fault(process, 12_000, calllog.ActionStart)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// failBehindKilledAgent kills the agent of a worker whose run then fails. The exit of
// the agent is recorded only after that failure.
func failBehindKilledAgent(f *fixture, restart int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 1000, api.OutcomeFailed)
	f.fault("agent-1", 200, calllog.ActionKill)
	f.fault("agent-1", 1400, calllog.ActionExit)
	f.fault("agent-1", 12_000, calllog.ActionStart)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", 9000, api.StateSucceeded)
}

// freezeWorker freezes the worker of a run for 10 s while the task runs on another
// worker.
func freezeWorker(f *fixture, outcome api.Outcome, ended int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, ended, outcome)
	f.fault("one", 200, calllog.ActionFreeze)
	f.fault("one", 10_200, calllog.ActionResume)
	f.succeed("j/s/0", "two", 2, 4000, 11_800)
	f.poll("j", 12_000, api.StateSucceeded)
}

func exitAndRestart(f *fixture, restart int64) {
	f.submit("j", 10, task())
	f.start("j/s/0", "one", 1, 100)
	f.fault("one", 300, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", restart+500, api.StateSucceeded)
}

// loseWorkerAndLeader makes a worker and two of three schedulers exit.
func loseWorkerAndLeader(f *fixture, restart int64) {
	f.stopTwoSchedulers(300, 9000)
	exitAndRestart(f, restart)
}

// freezeScheduler freezes a scheduler for 20 s. Token 2 is first used at firstUse, and
// a task starts under token 1 at start.
func freezeScheduler(f *fixture, firstUse, start int64) {
	f.Schedulers = []string{"s1", "s2", "s3"}
	f.submit("j", 10, task(), task())
	f.fault("s1", 100, calllog.ActionFreeze)
	f.fault("s1", 20_100, calllog.ActionResume)
	f.succeed("j/s/0", "one", 1, firstUse, firstUse+100)
	f.Events[0].Token, f.Events[1].Token = 2, 2
	f.succeed("j/s/1", "two", 1, start, start+100)
	f.poll("j", 22_000, api.StateSucceeded)
}

func runGang(f *fixture, second int64) {
	f.submit("j", 10, task(), task()).Steps[0].Together = true
	f.succeed("j/s/0", "one", 1, 100, 7000)
	f.succeed("j/s/1", "two", 1, second, 7000)
	f.poll("j", 8000, api.StateSucceeded)
}

func loseRun(f *fixture, restart int64) {
	f.submit("j", 10, task())
	f.start("j/s/0", "one", 1, 100)
	f.fault("one", 200, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func exitAgent(f *fixture, restart int64) {
	f.submit("j", 10, task())
	f.run("j/s/0", "one", 1, 100, 3200, api.OutcomeStopped)
	f.fault("agent-1", 200, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, restart, restart+100)
	f.poll("j", 8000, api.StateSucceeded)
}

func startUnderStaleToken(f *fixture, start int64) {
	f.submit("j", 10, task(), task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.Events[0].Token, f.Events[1].Token = 2, 2
	f.succeed("j/s/1", "two", 1, start, start+100)
	f.poll("j", 8000, api.StateSucceeded)
}
