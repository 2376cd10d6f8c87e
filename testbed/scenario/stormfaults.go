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

// killFor kills processes and starts them again.
func killFor(targets []*fleet.Process, length time.Duration) action {
	return func(ctx context.Context) error {
		failures := []error{killAll(targets), sleep(ctx, length)}
		for _, target := range targets {
			failures = append(failures, target.Start())
		}
		return errors.Join(failures...)
	}
}

func (s *storm) killLeader(ctx context.Context, length time.Duration) fault {
	targets := []*fleet.Process{s.leaderOrDrawn(ctx), s.drawProcess(deployment.RoleWorker)}
	return fault{targets, s.onSchedulers(killFor(targets, length))}
}

func (s *storm) killTwo(ctx context.Context, length time.Duration) fault {
	first := s.leaderOrDrawn(ctx)
	targets := []*fleet.Process{first, peersOf(s.env, first)[s.drawInt(deployment.Schedulers-1)]}
	return fault{targets, s.onSchedulers(killFor(targets, min(length, downTime)))}
}

func (s *storm) freezeLeader(ctx context.Context, length time.Duration) fault {
	target := s.leaderOrDrawn(ctx)
	if s.drawInt(2) == 0 {
		length = frozenTime
	}
	return fault{[]*fleet.Process{target}, s.onSchedulers(func(ctx context.Context) error {
		return freezeFor(ctx, target, length)
	})}
}

func (s *storm) partitionLeader(ctx context.Context, length time.Duration) fault {
	target := s.leaderOrDrawn(ctx)
	links := fleet.LinksBetween([]*fleet.Process{target}, peersOf(s.env, target))
	if s.drawInt(2) == 0 {
		links = oneWay(links, s.drawInt(2))
	}
	return fault{nil, s.onSchedulers(s.partition(links, length))}
}

// oneWay keeps one of the two directions of each link.
func oneWay(links []netem.Link, parity int) []netem.Link {
	var oneDirection []netem.Link
	for index, link := range links {
		if index%2 == parity {
			oneDirection = append(oneDirection, link)
		}
	}
	return oneDirection
}

func (s *storm) partition(links []netem.Link, length time.Duration) action {
	return func(ctx context.Context) error {
		defer s.env.Fleet.Partition(links...)()
		return sleep(ctx, length)
	}
}

func (s *storm) partitionZone(_ context.Context, length time.Duration) fault {
	zone := deployment.ZoneName(1 + s.drawInt(deployment.Zones))
	links := s.env.Fleet.ZoneLinks(zone)
	return fault{nil, locked(s.zones.TryLock, s.zones.Unlock, func(ctx context.Context) error {
		if do := s.onSchedulers(s.partition(links, length))(); do != nil {
			return do(ctx)
		}
		return nil
	})}
}

func (s *storm) jumpClock(_ context.Context, length time.Duration) fault {
	target := s.drawProcess(deployment.RoleScheduler)
	offset := clockJump
	if s.drawInt(2) == 0 {
		offset = -clockJump
	}
	return fault{[]*fleet.Process{target}, always(func(ctx context.Context) error {
		failures := []error{s.env.Fleet.SetClock(target, offset), sleep(ctx, length)}
		return errors.Join(append(failures, s.env.Fleet.SetClock(target, 0))...)
	})}
}

func (s *storm) loseDisk(context.Context, time.Duration) fault {
	target := s.drawProcess(deployment.RoleScheduler)
	return fault{[]*fleet.Process{target}, locked(s.schedulers.TryLock, s.schedulers.Unlock, func(ctx context.Context) error {
		return replaceDisk(ctx, s.env, target)
	})}
}

func (s *storm) killAny(_ context.Context, length time.Duration) fault {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent, deployment.RoleFront}
	targets := []*fleet.Process{s.drawProcess(roles[s.drawInt(len(roles))])}
	return fault{targets, always(killFor(targets, length))}
}

func (s *storm) freezeAny(_ context.Context, length time.Duration) fault {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent}
	target := s.drawProcess(roles[s.drawInt(len(roles))])
	return fault{[]*fleet.Process{target}, always(func(ctx context.Context) error { return freezeFor(ctx, target, length) })}
}

func (s *storm) partitionWorker(_ context.Context, length time.Duration) fault {
	worker := s.drawProcess(deployment.RoleWorker)
	links := netem.BothDirections(worker.Spec.Name, s.env.Fleet.AgentOf(worker).Spec.Name)
	if direction := s.drawInt(3); direction < 2 {
		links = links[direction : direction+1]
	}
	return fault{nil, always(s.partition(links, length))}
}

func (s *storm) reorderAll(_ context.Context, length time.Duration) fault {
	return fault{nil, always(func(ctx context.Context) error {
		agents, schedulers := s.env.Fleet.ByRole(deployment.RoleAgent), s.env.Fleet.ByRole(deployment.RoleScheduler)
		defer s.env.Fleet.Reorder(reorderProbability, reorderMaxDelay, fleet.LinksBetween(agents, schedulers)...)()
		return sleep(ctx, length)
	})}
}

func (s *storm) resetAll(context.Context, time.Duration) fault {
	return fault{nil, always(func(context.Context) error {
		schedulers := s.env.Fleet.ByRole(deployment.RoleScheduler)
		s.env.Fleet.ResetConnections(fleet.LinksBetween(schedulers, schedulers)...)
		return nil
	})}
}

func (s *storm) stallAny(context.Context, time.Duration) fault {
	agent := s.drawProcess(deployment.RoleAgent)
	return fault{nil, always(func(ctx context.Context) error { return stallAnswers(ctx, s.env, agent) })}
}

func (s *storm) drain(_ context.Context, length time.Duration) fault {
	drains := api.DrainConfig{Workers: []string{s.drawProcess(deployment.RoleWorker).Spec.Name}}
	return fault{nil, s.onConfig(func(ctx context.Context) error {
		s.changeConfig(ctx, func(config *api.Config) { config.Drains = drains })
		err := sleep(ctx, length)
		s.changeConfig(ctx, func(config *api.Config) { config.Drains = api.DrainConfig{} })
		return err
	})}
}

func (s *storm) raceConfigs(_ context.Context, length time.Duration) fault {
	draw := rand.New(rand.NewPCG(s.env.Seed, uint64(s.drawInt(stormIDs))))
	firstTag := stormTags * (1 + s.drawInt(stormTags))
	return fault{nil, s.onConfig(func(ctx context.Context) error {
		racing, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		configRace{s.env, draw, firstTag}.run(ctx, racing)
		return nil
	})}
}

// changeConfig changes the configuration, however long it takes to reach the fleet.
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
