package scenario

import (
	"context"
	"errors"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/netem"
)

const (
	zonePartitionTime   = 15 * time.Second
	workerPartitionTime = 10 * time.Second
	leaderPartitionTime = 10 * time.Second
	// reorderProbability is the share of data chunks that are delayed, for up to
	// reorderMaxDelay, which exceeds the timeout of 1 s for one heartbeat.
	reorderProbability = 0.2
	reorderMaxDelay    = 1500 * time.Millisecond
	// stallTime is how long all answers to an agent are stalled.
	stallTime = 1200 * time.Millisecond
)

// partitionZone partitions a zone from the others for a duration.
func partitionZone(ctx context.Context, env Env, zone string, duration time.Duration) error {
	defer env.Fleet.Partition(env.Fleet.ZoneLinks(zone)...)()
	return sleep(ctx, duration)
}

// partitionLeaderZone partitions the leader's zone for odd seeds, and the zone of another
// scheduler for even seeds.
func partitionLeaderZone(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	zone := target.Spec.Zone
	if env.Seed%2 == 0 {
		zone = peersOf(env, target)[0].Spec.Zone
	}
	return partitionZone(ctx, env, zone, zonePartitionTime)
}

// partitionWorkers partitions three workers from their agents: one cannot send, one cannot
// receive, one can do neither.
func partitionWorkers(ctx context.Context, env Env) error {
	workers := env.Fleet.ByRole(deployment.RoleWorker)
	bothDirections := func(index int) []netem.Link {
		worker := workers[index]
		return netem.BothDirections(worker.Spec.Name, env.Fleet.AgentOf(worker).Spec.Name)
	}
	links := append(bothDirections(2), bothDirections(0)[0], bothDirections(1)[1])
	defer env.Fleet.Partition(links...)()
	return sleep(ctx, workerPartitionTime)
}

// partitionLeader partitions the leader from the other schedulers. Agents and fronts still
// reach all schedulers.
func partitionLeader(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	links := fleet.LinksBetween([]*fleet.Process{target}, peersOf(env, target))
	defer env.Fleet.Partition(links...)()
	return sleep(ctx, leaderPartitionTime)
}

// reorderAnswers delays and reorders messages between agents and schedulers for half of the
// time. Meanwhile it repeatedly stalls the answers to a random agent, which then arrive all
// at once, and resets the agent's connections.
func reorderAnswers(ctx context.Context, env Env) error {
	agents, schedulers := env.Fleet.ByRole(deployment.RoleAgent), env.Fleet.ByRole(deployment.RoleScheduler)
	defer env.Fleet.Reorder(reorderProbability, reorderMaxDelay, fleet.LinksBetween(agents, schedulers)...)()
	random := newRandom(env, "cross")
	for until := time.Now().Add(env.Duration / 2); time.Now().Before(until); {
		agent := agents[random.IntN(len(agents))]
		if err := stallAnswers(ctx, env, agent); err != nil {
			return err
		}
		env.Fleet.ResetConnections(fleet.LinksBetween([]*fleet.Process{agent}, schedulers)...)
		if err := sleep(ctx, stallTime); err != nil {
			return err
		}
	}
	return nil
}

// stallAnswers stalls all data from schedulers to an agent for stallTime and then delivers it
// at once.
func stallAnswers(ctx context.Context, env Env, agent *fleet.Process) error {
	var answers []netem.Link
	for _, scheduler := range env.Fleet.ByRole(deployment.RoleScheduler) {
		answers = append(answers, netem.Link{From: scheduler.Spec.Name, To: agent.Spec.Name})
	}
	defer env.Fleet.Stall(answers...)()
	return sleep(ctx, stallTime)
}

// peersOf returns the other processes of the same role.
func peersOf(env Env, process *fleet.Process) []*fleet.Process {
	var others []*fleet.Process
	for _, one := range env.Fleet.ByRole(process.Spec.Role) {
		if one != process {
			others = append(others, one)
		}
	}
	return others
}

// afterFraction returns a scenario that calls do after 1/divisor of the load's duration.
func afterFraction(divisor time.Duration, do func(context.Context, Env) error) func(context.Context, Env) error {
	return func(ctx context.Context, env Env) error {
		if err := sleep(ctx, env.Duration/divisor); err != nil {
			return err
		}
		return do(ctx, env)
	}
}

// startAll starts stopped processes and waits until they are ready.
func startAll(ctx context.Context, processes []*fleet.Process) error {
	var failures []error
	for _, process := range processes {
		failures = append(failures, process.Start())
	}
	for _, process := range processes {
		failures = append(failures, waitReady(ctx, process))
	}
	return errors.Join(failures...)
}
