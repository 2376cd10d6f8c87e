package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/netem"
)

// killFor returns an action that kills processes and starts them again after a duration.
func killFor(targets []*fleet.Process, duration time.Duration) action {
	return func(ctx context.Context) error {
		failures := []error{killAll(targets), sleep(ctx, duration)}
		for _, target := range targets {
			failures = append(failures, target.Start())
		}
		return errors.Join(failures...)
	}
}

// killLeader kills the leader and a random worker.
func (s *storm) killLeader(ctx context.Context, duration time.Duration) fault {
	targets := []*fleet.Process{s.leaderOrDrawn(ctx), s.drawProcess(deployment.RoleWorker)}
	return fault{targets, s.onSchedulers(killFor(targets, duration))}
}

// killTwoSchedulers kills the leader and another scheduler, for downTime at most.
func (s *storm) killTwoSchedulers(ctx context.Context, duration time.Duration) fault {
	first := s.leaderOrDrawn(ctx)
	targets := []*fleet.Process{first, peersOf(s.env, first)[s.drawInt(deployment.Schedulers-1)]}
	return fault{targets, s.onSchedulers(killFor(targets, min(duration, downTime)))}
}

// freezeLeader freezes the leader, in half of the cases for leaderFreezeTime.
func (s *storm) freezeLeader(ctx context.Context, duration time.Duration) fault {
	target := s.leaderOrDrawn(ctx)
	if s.drawInt(2) == 0 {
		duration = leaderFreezeTime
	}
	return fault{[]*fleet.Process{target}, s.onSchedulers(func(ctx context.Context) error {
		return freezeFor(ctx, target, duration)
	})}
}

// partitionLeader partitions the leader from the other schedulers, in half of the cases in
// one direction only.
func (s *storm) partitionLeader(ctx context.Context, duration time.Duration) fault {
	target := s.leaderOrDrawn(ctx)
	links := fleet.LinksBetween([]*fleet.Process{target}, peersOf(s.env, target))
	if s.drawInt(2) == 0 {
		links = oneWay(links, s.drawInt(2))
	}
	return fault{nil, s.onSchedulers(s.partition(links, duration))}
}

// oneWay returns one of the two directions of each link: the first for parity 0, the second
// for parity 1.
func oneWay(links []netem.Link, parity int) []netem.Link {
	var oneDirection []netem.Link
	for index, link := range links {
		if index%2 == parity {
			oneDirection = append(oneDirection, link)
		}
	}
	return oneDirection
}

// partition returns an action that partitions links for a duration.
func (s *storm) partition(links []netem.Link, duration time.Duration) action {
	return func(ctx context.Context) error {
		defer s.env.Fleet.Partition(links...)()
		return sleep(ctx, duration)
	}
}

// partitionZone partitions a random zone from the others. It does nothing while a disk is
// replaced.
func (s *storm) partitionZone(_ context.Context, duration time.Duration) fault {
	zone := deployment.ZoneName(1 + s.drawInt(deployment.Zones))
	links := s.env.Fleet.ZoneLinks(zone)
	return fault{nil, withLock(s.zones.TryLock, s.zones.Unlock, func(ctx context.Context) error {
		if cut := s.onSchedulers(s.partition(links, duration))(); cut != nil {
			return cut(ctx)
		}
		return nil
	})}
}

// jumpClock sets the clock of a random scheduler an hour ahead or back.
func (s *storm) jumpClock(_ context.Context, duration time.Duration) fault {
	target := s.drawProcess(deployment.RoleScheduler)
	offset := clockJumpOffset
	if s.drawInt(2) == 0 {
		offset = -clockJumpOffset
	}
	return fault{[]*fleet.Process{target}, withoutLock(func(ctx context.Context) error {
		failures := []error{s.env.Fleet.SetClock(target, offset), sleep(ctx, duration)}
		return errors.Join(append(failures, s.env.Fleet.SetClock(target, 0))...)
	})}
}

// loseDisk replaces the disk of a random scheduler.
func (s *storm) loseDisk(context.Context, time.Duration) fault {
	target := s.drawProcess(deployment.RoleScheduler)
	return fault{[]*fleet.Process{target}, withLock(s.schedulers.TryLock, s.schedulers.Unlock, func(ctx context.Context) error {
		return replaceDisk(ctx, s.env, target)
	})}
}

// killRandom kills a random worker, agent or front.
func (s *storm) killRandom(_ context.Context, duration time.Duration) fault {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent, deployment.RoleFront}
	targets := []*fleet.Process{s.drawProcess(roles[s.drawInt(len(roles))])}
	return fault{targets, withoutLock(killFor(targets, duration))}
}

// freezeRandom freezes a random worker or agent.
func (s *storm) freezeRandom(_ context.Context, duration time.Duration) fault {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent}
	target := s.drawProcess(roles[s.drawInt(len(roles))])
	return fault{[]*fleet.Process{target}, withoutLock(func(ctx context.Context) error { return freezeFor(ctx, target, duration) })}
}

// partitionWorker partitions a random worker from its agent, in one or both directions.
func (s *storm) partitionWorker(_ context.Context, duration time.Duration) fault {
	worker := s.drawProcess(deployment.RoleWorker)
	links := netem.BothDirections(worker.Spec.Name, s.env.Fleet.AgentOf(worker).Spec.Name)
	if direction := s.drawInt(3); direction < 2 {
		links = links[direction : direction+1]
	}
	return fault{nil, withoutLock(s.partition(links, duration))}
}

// reorderAgentLinks reorders the data between all agents and schedulers.
func (s *storm) reorderAgentLinks(_ context.Context, duration time.Duration) fault {
	return fault{nil, withoutLock(func(ctx context.Context) error {
		agents, schedulers := s.env.Fleet.ByRole(deployment.RoleAgent), s.env.Fleet.ByRole(deployment.RoleScheduler)
		defer s.env.Fleet.Reorder(reorderProbability, reorderMaxDelay, fleet.LinksBetween(agents, schedulers)...)()
		return sleep(ctx, duration)
	})}
}

// resetSchedulerConnections resets all connections between schedulers.
func (s *storm) resetSchedulerConnections(context.Context, time.Duration) fault {
	return fault{nil, withoutLock(func(context.Context) error {
		schedulers := s.env.Fleet.ByRole(deployment.RoleScheduler)
		s.env.Fleet.ResetConnections(fleet.LinksBetween(schedulers, schedulers)...)
		return nil
	})}
}

// stallRandom stalls the answers to a random agent.
func (s *storm) stallRandom(context.Context, time.Duration) fault {
	agent := s.drawProcess(deployment.RoleAgent)
	return fault{nil, withoutLock(func(ctx context.Context) error { return stallAnswers(ctx, s.env, agent) })}
}

// drain drains a random worker.
func (s *storm) drain(_ context.Context, duration time.Duration) fault {
	drains := api.DrainConfig{Workers: []string{s.drawProcess(deployment.RoleWorker).Spec.Name}}
	return fault{nil, s.onConfig(func(ctx context.Context) error {
		s.changeConfig(ctx, func(config *api.Config) { config.Drains = drains })
		err := sleep(ctx, duration)
		s.changeConfig(ctx, func(config *api.Config) { config.Drains = api.DrainConfig{} })
		return err
	})}
}

// raceConfigs runs a configRace.
func (s *storm) raceConfigs(_ context.Context, duration time.Duration) fault {
	random := rand.New(rand.NewPCG(s.env.Seed, uint64(s.drawInt(stormIDs))))
	firstTag := stormTags * (1 + s.drawInt(stormTags))
	return fault{nil, s.onConfig(func(ctx context.Context) error {
		raceCtx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		configRace{s.env, random, firstTag}.run(ctx, raceCtx)
		return nil
	})}
}

// changeConfig changes the configuration in force. It retries the read until it succeeds and
// the put until it is answered, or until the context ends.
func (s *storm) changeConfig(ctx context.Context, change func(*api.Config)) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		present, err := s.env.Operator.Read(limited)
		cancel()
		if err != nil {
			continue
		}
		change(&present.Config)
		sendUntilAnswered(ctx, s.env.Operator, order{fmt.Sprintf("lab-storm-%d", s.drawInt(stormIDs)), present.Version, present.Config})
		return
	}
}
