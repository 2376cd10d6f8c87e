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
		failures := []error{killAll(targets), pause(ctx, length)}
		for _, target := range targets {
			failures = append(failures, target.Start())
		}
		return errors.Join(failures...)
	}
}

func (s *storm) killLeader(ctx context.Context, length time.Duration) fault {
	targets := []*fleet.Process{s.leaderOrAny(ctx), s.any(deployment.RoleWorker)}
	return fault{targets, s.onSchedulers(killFor(targets, length))}
}

func (s *storm) killTwo(ctx context.Context, length time.Duration) fault {
	first := s.leaderOrAny(ctx)
	targets := []*fleet.Process{first, othersOf(s.bench, first)[s.number(deployment.Schedulers-1)]}
	return fault{targets, s.onSchedulers(killFor(targets, min(length, downTime)))}
}

func (s *storm) freezeLeader(ctx context.Context, length time.Duration) fault {
	target := s.leaderOrAny(ctx)
	if s.number(2) == 0 {
		length = frozenTime
	}
	return fault{[]*fleet.Process{target}, s.onSchedulers(func(ctx context.Context) error {
		return freezeFor(ctx, target, length)
	})}
}

func (s *storm) cutLeader(ctx context.Context, length time.Duration) fault {
	target := s.leaderOrAny(ctx)
	links := fleet.LinksBetween([]*fleet.Process{target}, othersOf(s.bench, target))
	if s.number(2) == 0 {
		links = oneWay(links, s.number(2))
	}
	return fault{nil, s.onSchedulers(s.cut(links, length))}
}

// oneWay keeps one of the two directions of each link.
func oneWay(links []netem.Link, parity int) []netem.Link {
	var kept []netem.Link
	for index, link := range links {
		if index%2 == parity {
			kept = append(kept, link)
		}
	}
	return kept
}

func (s *storm) cut(links []netem.Link, length time.Duration) action {
	return func(ctx context.Context) error {
		defer s.bench.Fleet.Cut(links...)()
		return pause(ctx, length)
	}
}

func (s *storm) cutZone(_ context.Context, length time.Duration) fault {
	zone := deployment.ZoneName(1 + s.number(deployment.Zones))
	links := s.bench.Fleet.LinksOfZone(zone)
	return fault{nil, locked(s.zones.TryLock, s.zones.Unlock, func(ctx context.Context) error {
		if do := s.onSchedulers(s.cut(links, length))(); do != nil {
			return do(ctx)
		}
		return nil
	})}
}

func (s *storm) jumpClock(_ context.Context, length time.Duration) fault {
	target := s.any(deployment.RoleScheduler)
	offset := clockJump
	if s.number(2) == 0 {
		offset = -clockJump
	}
	return fault{[]*fleet.Process{target}, always(func(ctx context.Context) error {
		failures := []error{s.bench.Fleet.SetClock(target, offset), pause(ctx, length)}
		return errors.Join(append(failures, s.bench.Fleet.SetClock(target, 0))...)
	})}
}

func (s *storm) loseDisk(context.Context, time.Duration) fault {
	target := s.any(deployment.RoleScheduler)
	return fault{[]*fleet.Process{target}, locked(s.schedulers.TryLock, s.schedulers.Unlock, func(ctx context.Context) error {
		return replaceDisk(ctx, s.bench, target)
	})}
}

func (s *storm) killAny(_ context.Context, length time.Duration) fault {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent, deployment.RoleFront}
	targets := []*fleet.Process{s.any(roles[s.number(len(roles))])}
	return fault{targets, always(killFor(targets, length))}
}

func (s *storm) freezeAny(_ context.Context, length time.Duration) fault {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent}
	target := s.any(roles[s.number(len(roles))])
	return fault{[]*fleet.Process{target}, always(func(ctx context.Context) error { return freezeFor(ctx, target, length) })}
}

func (s *storm) cutWorker(_ context.Context, length time.Duration) fault {
	worker := s.any(deployment.RoleWorker)
	links := netem.Both(worker.Spec.Name, s.bench.Fleet.AgentOf(worker).Spec.Name)
	if direction := s.number(3); direction < 2 {
		links = links[direction : direction+1]
	}
	return fault{nil, always(s.cut(links, length))}
}

func (s *storm) crossAll(_ context.Context, length time.Duration) fault {
	return fault{nil, always(func(ctx context.Context) error {
		agents, schedulers := s.bench.Fleet.ByRole(deployment.RoleAgent), s.bench.Fleet.ByRole(deployment.RoleScheduler)
		defer s.bench.Fleet.Cross(crossShare, crossTime, fleet.LinksBetween(agents, schedulers)...)()
		return pause(ctx, length)
	})}
}

func (s *storm) dropAll(context.Context, time.Duration) fault {
	return fault{nil, always(func(context.Context) error {
		schedulers := s.bench.Fleet.ByRole(deployment.RoleScheduler)
		s.bench.Fleet.Drop(fleet.LinksBetween(schedulers, schedulers)...)
		return nil
	})}
}

func (s *storm) holdAny(context.Context, time.Duration) fault {
	agent := s.any(deployment.RoleAgent)
	return fault{nil, always(func(ctx context.Context) error { return holdAnswers(ctx, s.bench, agent) })}
}

func (s *storm) drain(_ context.Context, length time.Duration) fault {
	drains := api.DrainConfig{Workers: []string{s.any(deployment.RoleWorker).Spec.Name}}
	return fault{nil, s.onConfig(func(ctx context.Context) error {
		s.order(ctx, func(config *api.Config) { config.Drains = drains })
		err := pause(ctx, length)
		s.order(ctx, func(config *api.Config) { config.Drains = api.DrainConfig{} })
		return err
	})}
}

func (s *storm) raceConfigs(_ context.Context, length time.Duration) fault {
	draw := rand.New(rand.NewPCG(s.bench.Seed, uint64(s.number(stormIDs))))
	firstTag := stormTags * (1 + s.number(stormTags))
	return fault{nil, s.onConfig(func(ctx context.Context) error {
		racing, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		configRace{s.bench, draw, firstTag}.run(ctx, racing)
		return nil
	})}
}

// order changes the configuration, however long it takes to reach the fleet.
func (s *storm) order(ctx context.Context, change func(*api.Config)) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		present, err := s.bench.Operator.Read(limited)
		cancel()
		if err != nil {
			continue
		}
		change(&present.Config)
		sendUntilAnswered(ctx, s.bench.Operator, order{fmt.Sprintf("lab-storm-%d", s.number(stormIDs)), present.Version, present.Config})
		return
	}
}
