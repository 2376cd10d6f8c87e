package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/deployment"
	"github.com/decklever/decklever/lab/fleet"
	"github.com/decklever/decklever/lab/relay"
)

const (
	// stormAtOnce is how many faults there are at the same time at most.
	stormAtOnce = 3
	// stormPauseMin and stormPauseMax bound the time between two beginnings.
	stormPauseMin = 500 * time.Millisecond
	stormPauseMax = 2500 * time.Millisecond
	// stormFaultMin and stormFaultMax bound the length of a fault.
	stormFaultMin = time.Second
	stormFaultMax = 12 * time.Second
	// stormTags bounds the orders of one race, and the number of races.
	stormTags = 1000
)

// storm is faults of all kinds, drawn from the seed, which may overlap. Two
// rules keep it within what the fleet must bear: while a disk is being
// replaced no other fault hits the schedulers, and no two zones are without
// their workers at once.
type storm struct {
	bench Bench
	draw  *rand.Rand

	// schedulers is held for reading during a fault of schedulers, for writing
	// while a disk is replaced. zones and config allow one fault at a time.
	schedulers sync.RWMutex
	zones      sync.Mutex
	config     sync.Mutex

	mutex sync.Mutex
	// taken are the processes that a fault has in hand.
	taken    map[string]bool
	failures []error
}

// strike is one fault, with all that chance decided.
type strike struct {
	// targets are the processes to be killed, frozen or wiped.
	targets []*fleet.Process
	// begin is asked once the targets are free; it returns what to do, or nil
	// if the strike must not be now.
	begin func() func(context.Context) error
}

func runStorm(ctx context.Context, bench Bench) error {
	s := &storm{bench: bench, draw: random(bench, "storm"), taken: map[string]bool{}}
	slots := make(chan struct{}, stormAtOnce)
	var strikes sync.WaitGroup
	for until := time.Now().Add(bench.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		if err := pause(ctx, s.between(stormPauseMin, stormPauseMax)); err != nil {
			break
		}
		slots <- struct{}{}
		one := s.next(ctx)
		strikes.Go(func() { s.run(ctx, one); <-slots })
	}
	strikes.Wait()
	return errors.Join(append(s.failures, ctx.Err())...)
}

// run carries out a strike unless something is in its way.
func (s *storm) run(ctx context.Context, one strike) {
	if !s.take(one.targets) {
		return
	}
	defer s.release(one.targets)
	do := one.begin()
	if do == nil {
		return
	}
	if err := do(ctx); err != nil {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.failures = append(s.failures, err)
	}
}

func (s *storm) take(targets []*fleet.Process) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, target := range targets {
		if s.taken[target.Spec.Name] {
			return false
		}
	}
	for _, target := range targets {
		s.taken[target.Spec.Name] = true
	}
	return true
}

func (s *storm) release(targets []*fleet.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, target := range targets {
		delete(s.taken, target.Spec.Name)
	}
}

func (s *storm) between(least, most time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return least + time.Duration(s.draw.Int64N(int64(most-least)))
}

func (s *storm) number(below int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draw.IntN(below)
}

// any draws a process of a role.
func (s *storm) any(role deployment.Role) *fleet.Process {
	processes := s.bench.Fleet.ByRole(role)
	return processes[s.number(len(processes))]
}

// leaderOrAny returns the leading scheduler, or any if none is known.
func (s *storm) leaderOrAny(ctx context.Context) *fleet.Process {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if found, err := s.bench.Fleet.Leader(ctx); err == nil {
		return found
	}
	return s.any(deployment.RoleScheduler)
}

// next draws a strike.
func (s *storm) next(ctx context.Context) strike {
	length := s.between(stormFaultMin, stormFaultMax)
	kinds := []func(context.Context, time.Duration) strike{
		s.killLeader, s.killTwo, s.freezeLeader, s.cutLeader, s.cutZone, s.jumpClock, s.loseDisk,
		s.killAny, s.killAny, s.freezeAny, s.cutWorker, s.cutWorker, s.crossAll, s.dropAll, s.holdAny,
		s.drain, s.raceConfigs,
	}
	return kinds[s.number(len(kinds))](ctx, length)
}

// onSchedulers is a strike on schedulers; it waits for no one.
func (s *storm) onSchedulers(do func(context.Context) error) func() func(context.Context) error {
	return locked(s.schedulers.TryRLock, s.schedulers.RUnlock, do)
}

// locked runs do only if a lock can be had at once.
func locked(try func() bool, unlock func(), do func(context.Context) error) func() func(context.Context) error {
	return func() func(context.Context) error {
		if !try() {
			return nil
		}
		return func(ctx context.Context) error {
			defer unlock()
			return do(ctx)
		}
	}
}

func always(do func(context.Context) error) func() func(context.Context) error {
	return func() func(context.Context) error { return do }
}

// killFor kills processes and starts them again.
func killFor(targets []*fleet.Process, length time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		failures := []error{killAll(targets), pause(ctx, length)}
		for _, target := range targets {
			failures = append(failures, target.Start())
		}
		return errors.Join(failures...)
	}
}

func (s *storm) killLeader(ctx context.Context, length time.Duration) strike {
	targets := []*fleet.Process{s.leaderOrAny(ctx), s.any(deployment.RoleWorker)}
	return strike{targets, s.onSchedulers(killFor(targets, length))}
}

func (s *storm) killTwo(ctx context.Context, length time.Duration) strike {
	first := s.leaderOrAny(ctx)
	targets := []*fleet.Process{first, othersOf(s.bench, first)[s.number(deployment.Schedulers-1)]}
	return strike{targets, s.onSchedulers(killFor(targets, min(length, downTime)))}
}

func (s *storm) freezeLeader(ctx context.Context, length time.Duration) strike {
	target := s.leaderOrAny(ctx)
	if s.number(2) == 0 {
		length = frozenTime
	}
	return strike{[]*fleet.Process{target}, s.onSchedulers(func(ctx context.Context) error {
		return freezeFor(ctx, target, length)
	})}
}

func (s *storm) cutLeader(ctx context.Context, length time.Duration) strike {
	target := s.leaderOrAny(ctx)
	links := fleet.LinksBetween([]*fleet.Process{target}, othersOf(s.bench, target))
	if s.number(2) == 0 {
		links = oneWay(links, s.number(2))
	}
	return strike{nil, s.onSchedulers(s.cut(links, length))}
}

// oneWay keeps one of the two directions of each link.
func oneWay(links []relay.Link, parity int) []relay.Link {
	var kept []relay.Link
	for index, link := range links {
		if index%2 == parity {
			kept = append(kept, link)
		}
	}
	return kept
}

func (s *storm) cut(links []relay.Link, length time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		defer s.bench.Fleet.Cut(links...)()
		return pause(ctx, length)
	}
}

func (s *storm) cutZone(_ context.Context, length time.Duration) strike {
	zone := deployment.ZoneName(1 + s.number(deployment.Zones))
	links := s.bench.Fleet.LinksOfZone(zone)
	return strike{nil, locked(s.zones.TryLock, s.zones.Unlock, func(ctx context.Context) error {
		if do := s.onSchedulers(s.cut(links, length))(); do != nil {
			return do(ctx)
		}
		return nil
	})}
}

func (s *storm) jumpClock(_ context.Context, length time.Duration) strike {
	target := s.any(deployment.RoleScheduler)
	offset := clockJump
	if s.number(2) == 0 {
		offset = -clockJump
	}
	return strike{[]*fleet.Process{target}, always(func(ctx context.Context) error {
		failures := []error{s.bench.Fleet.SetClock(target, offset), pause(ctx, length)}
		return errors.Join(append(failures, s.bench.Fleet.SetClock(target, 0))...)
	})}
}

func (s *storm) loseDisk(context.Context, time.Duration) strike {
	target := s.any(deployment.RoleScheduler)
	return strike{[]*fleet.Process{target}, locked(s.schedulers.TryLock, s.schedulers.Unlock, func(ctx context.Context) error {
		return replaceDisk(ctx, s.bench, target)
	})}
}

func (s *storm) killAny(_ context.Context, length time.Duration) strike {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent, deployment.RoleFront}
	targets := []*fleet.Process{s.any(roles[s.number(len(roles))])}
	return strike{targets, always(killFor(targets, length))}
}

func (s *storm) freezeAny(_ context.Context, length time.Duration) strike {
	roles := []deployment.Role{deployment.RoleWorker, deployment.RoleAgent}
	target := s.any(roles[s.number(len(roles))])
	return strike{[]*fleet.Process{target}, always(func(ctx context.Context) error { return freezeFor(ctx, target, length) })}
}

func (s *storm) cutWorker(_ context.Context, length time.Duration) strike {
	worker := s.any(deployment.RoleWorker)
	links := relay.Both(worker.Spec.Name, s.bench.Fleet.AgentOf(worker).Spec.Name)
	if direction := s.number(3); direction < 2 {
		links = links[direction : direction+1]
	}
	return strike{nil, always(s.cut(links, length))}
}

func (s *storm) crossAll(_ context.Context, length time.Duration) strike {
	return strike{nil, always(func(ctx context.Context) error {
		agents, schedulers := s.bench.Fleet.ByRole(deployment.RoleAgent), s.bench.Fleet.ByRole(deployment.RoleScheduler)
		defer s.bench.Fleet.Cross(crossShare, crossTime, fleet.LinksBetween(agents, schedulers)...)()
		return pause(ctx, length)
	})}
}

func (s *storm) dropAll(context.Context, time.Duration) strike {
	return strike{nil, always(func(context.Context) error {
		schedulers := s.bench.Fleet.ByRole(deployment.RoleScheduler)
		s.bench.Fleet.Drop(fleet.LinksBetween(schedulers, schedulers)...)
		return nil
	})}
}

func (s *storm) holdAny(context.Context, time.Duration) strike {
	agent := s.any(deployment.RoleAgent)
	return strike{nil, always(func(ctx context.Context) error { return holdAnswers(ctx, s.bench, agent) })}
}

func (s *storm) drain(_ context.Context, length time.Duration) strike {
	drains := api.DrainConfig{Workers: []string{s.any(deployment.RoleWorker).Spec.Name}}
	return strike{nil, s.onConfig(func(ctx context.Context) error {
		s.order(ctx, func(config *api.Config) { config.Drains = drains })
		err := pause(ctx, length)
		s.order(ctx, func(config *api.Config) { config.Drains = api.DrainConfig{} })
		return err
	})}
}

func (s *storm) raceConfigs(_ context.Context, length time.Duration) strike {
	draw := rand.New(rand.NewPCG(s.bench.Seed, uint64(s.number(1<<40))))
	firstTag := stormTags * (1 + s.number(stormTags))
	return strike{nil, s.onConfig(func(ctx context.Context) error {
		racing, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		rivals{s.bench, draw, firstTag}.race(ctx, racing)
		return nil
	})}
}

func (s *storm) onConfig(do func(context.Context) error) func() func(context.Context) error {
	return locked(s.config.TryLock, s.config.Unlock, do)
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
		insist(ctx, s.bench.Operator, order{fmt.Sprintf("lab-storm-%d", s.number(1<<40)), present.Version, present.Config})
		return
	}
}
