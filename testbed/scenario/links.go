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
	zoneCutTime   = 15 * time.Second
	workerCutTime = 10 * time.Second
	leaderCutTime = 10 * time.Second
	// crossShare of all pieces of data is held up for as long as crossTime, or
	// until after the bound on one heartbeat of 1s.
	crossShare = 0.2
	crossTime  = 1500 * time.Millisecond
	// heldTime is how long all answers to an agent are kept back.
	heldTime = 1200 * time.Millisecond
)

// cutZone cuts all links between a zone and the others.
func cutZone(ctx context.Context, bench Bench, zone string, length time.Duration) error {
	defer bench.Fleet.Cut(bench.Fleet.LinksOfZone(zone)...)()
	return pause(ctx, length)
}

// zoneCut cuts off the zone of the leading scheduler for an odd seed, the next
// one for an even.
func zoneCut(ctx context.Context, bench Bench) error {
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	zone := target.Spec.Zone
	if bench.Seed%2 == 0 {
		zone = othersOf(bench, target)[0].Spec.Zone
	}
	return cutZone(ctx, bench, zone, zoneCutTime)
}

// workerCut cuts three workers off their agents: one cannot be heard, one
// cannot hear, one neither.
func workerCut(ctx context.Context, bench Bench) error {
	workers := bench.Fleet.ByRole(deployment.RoleWorker)
	both := func(index int) []netem.Link {
		worker := workers[index]
		return netem.Both(worker.Spec.Name, bench.Fleet.AgentOf(worker).Spec.Name)
	}
	links := append(both(2), both(0)[0], both(1)[1])
	defer bench.Fleet.Cut(links...)()
	return pause(ctx, workerCutTime)
}

// leaderCut cuts the leading scheduler off the others, while agents and fronts
// still reach all of them.
func leaderCut(ctx context.Context, bench Bench) error {
	target, err := leader(ctx, bench)
	if err != nil {
		return err
	}
	links := fleet.LinksBetween([]*fleet.Process{target}, othersOf(bench, target))
	defer bench.Fleet.Cut(links...)()
	return pause(ctx, leaderCutTime)
}

// crossAnswers has answers to agents come late, out of order, all at once, or
// not at all, for half of the time.
func crossAnswers(ctx context.Context, bench Bench) error {
	agents, schedulers := bench.Fleet.ByRole(deployment.RoleAgent), bench.Fleet.ByRole(deployment.RoleScheduler)
	defer bench.Fleet.Cross(crossShare, crossTime, fleet.LinksBetween(agents, schedulers)...)()
	random := random(bench, "cross")
	for until := time.Now().Add(bench.Duration / 2); time.Now().Before(until); {
		agent := agents[random.IntN(len(agents))]
		if err := holdAnswers(ctx, bench, agent); err != nil {
			return err
		}
		bench.Fleet.Drop(fleet.LinksBetween([]*fleet.Process{agent}, schedulers)...)
		if err := pause(ctx, heldTime); err != nil {
			return err
		}
	}
	return nil
}

// holdAnswers keeps back all answers to an agent and lets them go at once.
func holdAnswers(ctx context.Context, bench Bench, agent *fleet.Process) error {
	var answers []netem.Link
	for _, scheduler := range bench.Fleet.ByRole(deployment.RoleScheduler) {
		answers = append(answers, netem.Link{From: scheduler.Spec.Name, To: agent.Spec.Name})
	}
	defer bench.Fleet.Hold(answers...)()
	return pause(ctx, heldTime)
}

// othersOf returns the other processes of the same role.
func othersOf(bench Bench, process *fleet.Process) []*fleet.Process {
	var others []*fleet.Process
	for _, one := range bench.Fleet.ByRole(process.Spec.Role) {
		if one != process {
			others = append(others, one)
		}
	}
	return others
}

// after returns a scenario that does something a part of the duration after
// the start of the load.
func after(divisor time.Duration, do func(context.Context, Bench) error) func(context.Context, Bench) error {
	return func(ctx context.Context, bench Bench) error {
		if err := pause(ctx, bench.Duration/divisor); err != nil {
			return err
		}
		return do(ctx, bench)
	}
}

// startAll starts processes that were killed and waits until they are ready.
func startAll(ctx context.Context, processes []*fleet.Process) error {
	var failures []error
	for _, process := range processes {
		failures = append(failures, process.Start())
	}
	for _, process := range processes {
		failures = append(failures, waitBack(ctx, process))
	}
	return errors.Join(failures...)
}
