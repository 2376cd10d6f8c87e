package scenario

import "time"

// faultScenarios lists the scenarios of lost machines, disks, links and
// answers, and of operators and workers that go wrong.
func faultScenarios() []Scenario {
	return []Scenario{
		{Name: "double-kill", Summary: "SIGKILL to the leading scheduler and a worker at the same moment, started again after 5s", MinDuration: 20 * time.Second, Run: afterFraction(2, killTogether)},
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
