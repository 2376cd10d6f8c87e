package scenario

import (
	"slices"
	"time"

	"github.com/decklever/decklever/testbed/fleet"
)

// All lists every scenario.
func All() []Scenario { return slices.Concat(commonScenarios(), faultScenarios()) }

// commonScenarios lists the scenarios of single faults, of maintenance, and of
// unusual load.
func commonScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Summary: "no faults", Run: steady},
		{Name: "kill-leader", Summary: "SIGKILL to the leading scheduler at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killLeader},
		{Name: "kill-front", Summary: "SIGKILL to a front at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killNamed("front-01")},
		{Name: "kill-agent", Summary: "SIGKILL to an agent at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killNamed("agent-01")},
		{Name: "kill-worker", Summary: "SIGKILL to a worker at half time, started again after 5s", MinDuration: 10 * time.Second, Run: killNamed("worker-01")},
		{Name: "freeze-leader", Summary: "the leading scheduler is frozen for 25s", MinDuration: 40 * time.Second, Run: freezeLeader},
		{Name: "rolling-restart", Summary: "every process is asked to end and started again, in turn", MinDuration: 60 * time.Second, Run: rollingRestart},
		{Name: "version-change", Summary: "every process is changed from the previous programs to the present ones, in turn, and back, with changes of configuration between", MinDuration: 120 * time.Second, FirstVersion: fleet.PreviousVersion, Run: changeVersions},
		{Name: "drain", Summary: "two workers are drained for half of the time", MinDuration: 20 * time.Second, Run: drainWorkers},
		{Name: "evacuate", Summary: "a zone is evacuated for half of the time", MinDuration: 20 * time.Second, Run: evacuateZone},
		{Name: "shift-change", Summary: "restrepo: a full fleet, and a burst for the booked queue swaps at its moment", MinDuration: 30 * time.Second, Prepare: swapsRun.prepare, Run: swapsRun.run},
		{Name: "billing-run", Summary: "cartago: a full fleet, and a burst for the booked queue billing at its moment", MinDuration: 30 * time.Second, Prepare: billingRun.prepare, Run: billingRun.run},
		{Name: "flood", Summary: "20,000 jobs that must be refused and 5,000 that are cancelled in mass, after a quiet third", MinDuration: 60 * time.Second, Prepare: prepareFlood, Run: flood},
	}
}

// faultScenarios lists the scenarios of lost machines, disks, links and
// answers, and of operators and workers that go wrong.
func faultScenarios() []Scenario {
	return []Scenario{
		{Name: "double-kill", Summary: "SIGKILL to the leading scheduler and a worker at the same moment, started again after 5s", MinDuration: 20 * time.Second, Run: afterFraction(2, killLeaderAndWorker)},
		{Name: "power-loss", Summary: "SIGKILL to two schedulers, later to all three, right after an acknowledgement; what the system's file cache holds survives that, so lost unsynced writes are left to the simulator", MinDuration: 40 * time.Second, Run: afterFraction(4, losePower)},
		{Name: "lost-disk", Summary: "a scheduler loses its data folder; once it is a voter again another is killed", MinDuration: 40 * time.Second, Run: afterFraction(4, loseDisk)},
		{Name: "freeze-worker", Summary: "an agent is frozen for 1.5s, then a worker for 8s", MinDuration: 30 * time.Second, Run: afterFraction(4, freezeWorker)},
		{Name: "zone-cut", Summary: "all links of one zone are cut both ways for 15s; the leader's zone for odd seeds", MinDuration: 40 * time.Second, Run: afterFraction(4, partitionLeaderZone)},
		{Name: "worker-cut", Summary: "for 10s one worker cannot be heard by its agent, one cannot hear it, one neither", MinDuration: 30 * time.Second, Run: afterFraction(4, partitionWorkers)},
		{Name: "leader-cut", Summary: "the leading scheduler is cut off the others for 10s, while agents and fronts reach all", MinDuration: 30 * time.Second, Run: afterFraction(4, partitionLeader)},
		{Name: "crossed-answers", Summary: "for half of the time answers between agents and schedulers are held, cross each other, or are lost with their connection", MinDuration: 20 * time.Second, Run: afterFraction(4, reorderAnswers)},
		{Name: "clock-jump", Summary: "the leader's wall clock jumps an hour ahead, an hour back, and right, 6s each", MinDuration: 30 * time.Second, Run: afterFraction(4, jumpClock)},
		{Name: "slow-workers", Summary: "three workers take three times as long", MinDuration: 10 * time.Second, Prepare: slowSomeWorkers, Run: steady},
		{Name: "flaky-workers", Summary: "a quarter of all runs fail, two failures are allowed", MinDuration: 10 * time.Second, Prepare: makeWorkersFlaky, Run: steady},
		{Name: "racing-operators", Summary: "two operators order on the same base and send old orders again, while answers get lost", MinDuration: 20 * time.Second, Run: raceOperators},
		{Name: "many-configs", Summary: "a scheduler misses 300 configurations, comes back, and the leader is killed", MinDuration: 40 * time.Second, Run: afterFraction(8, manyConfigurations)},
		{Name: "storm", Summary: "all kinds of faults, drawn from the seed and overlapping, for the whole time", MinDuration: 60 * time.Second, Run: runStorm},
	}
}
