package scenario

import (
	"slices"
	"time"

	"github.com/decklever/decklever/testbed/fleet"
)

// All lists every scenario.
func All() []Scenario { return slices.Concat(commonScenarios(), faultScenarios()) }

// commonScenarios lists the scenarios of single process faults, maintenance and unusual
// load.
func commonScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Summary: "no faults", Run: steady},
		{Name: "kill-leader", Summary: "the leading scheduler gets SIGKILL at half of the time and is restarted after 5s", MinDuration: 10 * time.Second, Run: killLeader},
		{Name: "kill-front", Summary: "a front gets SIGKILL at half of the time and is restarted after 5s", MinDuration: 10 * time.Second, Run: killNamed("front-01")},
		{Name: "kill-agent", Summary: "an agent gets SIGKILL at half of the time and is restarted after 5s", MinDuration: 10 * time.Second, Run: killNamed("agent-01")},
		{Name: "kill-worker", Summary: "a worker gets SIGKILL at half of the time and is restarted after 5s", MinDuration: 10 * time.Second, Run: killNamed("worker-01")},
		{Name: "freeze-leader", Summary: "the leading scheduler is frozen for 25s", MinDuration: 40 * time.Second, Run: freezeLeader},
		{Name: "rolling-restart", Summary: "all processes are terminated and restarted, one after the other", MinDuration: 60 * time.Second, Run: rollingRestart},
		{Name: "version-change", Summary: "all processes are restarted, one after the other, from the previous programs to the present ones, and then back, with configuration changes in between", MinDuration: 120 * time.Second, FirstVersion: fleet.PreviousVersion, Run: changeVersions},
		{Name: "drain", Summary: "two workers are drained for half of the time", MinDuration: 20 * time.Second, Run: drainWorkers},
		{Name: "evacuate", Summary: "a zone is evacuated for half of the time", MinDuration: 20 * time.Second, Run: evacuateZone},
		{Name: "shift-change", Summary: "restrepo: no free capacity, and a burst for the booked queue swaps at the start of its window", MinDuration: 30 * time.Second, Prepare: swapsRun.prepare, Run: swapsRun.run},
		{Name: "billing-run", Summary: "cartago: no free capacity, and a burst for the booked queue billing at the start of its window", MinDuration: 30 * time.Second, Prepare: billingRun.prepare, Run: billingRun.run},
		{Name: "flood", Summary: "after a third of the time with ordinary load only, 20,000 jobs that must be rejected and 5,000 that are cancelled in one call", MinDuration: 60 * time.Second, Prepare: prepareFlood, Run: flood},
	}
}

// faultScenarios lists the scenarios in which machines, disks, links or answers fail, and
// those with racing operators or failing workers.
func faultScenarios() []Scenario {
	return []Scenario{
		{Name: "double-kill", Summary: "the leading scheduler and a worker get SIGKILL at the same time and are restarted after 5s", MinDuration: 20 * time.Second, Run: afterFraction(2, killLeaderAndWorker)},
		{Name: "power-loss", Summary: "two schedulers, later all three, get SIGKILL right after an acknowledgement; the page cache survives SIGKILL, so the loss of unsynced writes is left to the simulator", MinDuration: 40 * time.Second, Run: afterFraction(4, losePower)},
		{Name: "lost-disk", Summary: "a scheduler loses its data folder; once it is a voter again, another scheduler is killed", MinDuration: 40 * time.Second, Run: afterFraction(4, loseDisk)},
		{Name: "freeze-worker", Summary: "an agent is frozen for 1.5s, then a worker for 8s", MinDuration: 30 * time.Second, Run: afterFraction(4, freezeWorker)},
		{Name: "zone-cut", Summary: "one zone is partitioned from the others for 15s; the leader's zone for odd seeds", MinDuration: 40 * time.Second, Run: afterFraction(4, partitionLeaderZone)},
		{Name: "worker-cut", Summary: "for 10s one worker cannot send to its agent, one cannot receive from it, one can do neither", MinDuration: 30 * time.Second, Run: afterFraction(4, partitionWorkers)},
		{Name: "leader-cut", Summary: "the leading scheduler is partitioned from the other schedulers for 10s, while agents and fronts reach all of them", MinDuration: 30 * time.Second, Run: afterFraction(4, partitionLeader)},
		{Name: "crossed-answers", Summary: "for half of the time messages between agents and schedulers are delayed, reordered, or lost with their connection", MinDuration: 20 * time.Second, Run: afterFraction(4, reorderAnswers)},
		{Name: "clock-jump", Summary: "the leader's wall clock is set an hour ahead, an hour back, and right again, for 6s each", MinDuration: 30 * time.Second, Run: afterFraction(4, jumpClock)},
		{Name: "slow-workers", Summary: "tasks on three workers take three times as long", MinDuration: 10 * time.Second, Prepare: slowSomeWorkers, Run: steady},
		{Name: "flaky-workers", Summary: "a quarter of all runs fail; each task may fail twice", MinDuration: 10 * time.Second, Prepare: makeWorkersFlaky, Run: steady},
		{Name: "racing-operators", Summary: "two operators put configurations on the same base version and resend old orders, while answers are lost", MinDuration: 20 * time.Second, Run: raceOperators},
		{Name: "many-configs", Summary: "a scheduler misses 300 configurations and is restarted, then the leader is killed", MinDuration: 40 * time.Second, Run: afterFraction(8, manyConfigurations)},
		{Name: "storm", Summary: "overlapping faults of all kinds, drawn from the seed, for the complete time", MinDuration: 60 * time.Second, Run: runStorm},
	}
}
