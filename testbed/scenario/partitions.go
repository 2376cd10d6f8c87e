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
	// reorderProbability of all chunks of data are delayed for up to reorderMaxDelay,
	// which is longer than the bound of 1 s on one heartbeat.
	reorderProbability = 0.2
	reorderMaxDelay    = 1500 * time.Millisecond
	// stallTime is how long all answers to an agent are held.
	stallTime = 1200 * time.Millisecond
)

// partitionZone partitions a zone from the others.
func partitionZone(ctx context.Context, env Env, zone string, length time.Duration) error {
	defer env.Fleet.Partition(env.Fleet.ZoneLinks(zone)...)()
	return sleep(ctx, length)
}

// partitionLeaderZone partitions the zone of the leader for an odd seed, the next one
// for an even seed.
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

// partitionWorkers partitions three workers from their agents: one cannot send, one
// cannot receive, one neither.
func partitionWorkers(ctx context.Context, env Env) error {
	workers := env.Fleet.ByRole(deployment.RoleWorker)
	both := func(index int) []netem.Link {
		worker := workers[index]
		return netem.BothDirections(worker.Spec.Name, env.Fleet.AgentOf(worker).Spec.Name)
	}
	links := append(both(2), both(0)[0], both(1)[1])
	defer env.Fleet.Partition(links...)()
	return sleep(ctx, workerPartitionTime)
}

// partitionLeader partitions the leader from the other schedulers, while agents and
// fronts still reach all of them.
func partitionLeader(ctx context.Context, env Env) error {
	target, err := leader(ctx, env)
	if err != nil {
		return err
	}
	links := fleet.LinksBetween([]*fleet.Process{target}, peersOf(env, target))
	defer env.Fleet.Partition(links...)()
	return sleep(ctx, leaderPartitionTime)
}

// reorderAnswers has answers to agents come late, out of order, all at once, or not at
// all, for half of the time.
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

// stallAnswers holds all answers to an agent and releases them at once.
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

// afterFraction returns a scenario that acts once a fraction of the duration has passed
// since the start of the load.
func afterFraction(divisor time.Duration, do func(context.Context, Env) error) func(context.Context, Env) error {
	return func(ctx context.Context, env Env) error {
		if err := sleep(ctx, env.Duration/divisor); err != nil {
			return err
		}
		return do(ctx, env)
	}
}

// startAll starts processes that were killed and waits until they are ready.
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
