package scenario

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

const (
	// stormMaxFaults is how many faults there are at the same time at most.
	stormMaxFaults = 3
	// stormIntervalMin and stormIntervalMax bound the time between the beginnings of
	// two faults.
	stormIntervalMin = 500 * time.Millisecond
	stormIntervalMax = 2500 * time.Millisecond
	// stormFaultMin and stormFaultMax bound the length of a fault.
	stormFaultMin = time.Second
	stormFaultMax = 12 * time.Second
	// stormTags bounds the orders of one race, and the number of races.
	stormTags = 1000
	// stormIDs bounds the numbers by which orders and streams of chance differ.
	stormIDs = 1 << 40
)

// storm is faults of all kinds, drawn from the seed, which may overlap. Two rules keep
// it within what the fleet must tolerate: while a disk is being replaced no other fault
// hits the schedulers, and no two zones are without their workers at once.
type storm struct {
	env    Env
	random *rand.Rand

	// schedulers is locked for reading during a fault of schedulers, for writing while
	// a disk is replaced. zones and config allow one fault at a time.
	schedulers sync.RWMutex
	zones      sync.Mutex
	config     sync.Mutex

	mutex sync.Mutex
	// claimed are the processes that have a fault now.
	claimed  map[string]bool
	failures []error
}

// fault is one fault, with all that was drawn for it.
type fault struct {
	// targets are the processes to be killed, frozen or wiped.
	targets []*fleet.Process
	// begin is called once the targets are free.
	begin attempt
}

// attempt returns the action of a fault, or nil if a fault in progress excludes it now.
// An action that is returned must be run, as it may hold a lock until its end.
type attempt func() action

// action injects a fault, waits, and ends it.
type action func(context.Context) error

func runStorm(ctx context.Context, env Env) error {
	s := &storm{env: env, random: newRandom(env, "storm"), claimed: map[string]bool{}}
	slots := make(chan struct{}, stormMaxFaults)
	var faults sync.WaitGroup
	for until := time.Now().Add(env.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		if err := sleep(ctx, s.drawDuration(stormIntervalMin, stormIntervalMax)); err != nil {
			break
		}
		slots <- struct{}{}
		one := s.drawFault(ctx)
		faults.Go(func() { s.run(ctx, one); <-slots })
	}
	faults.Wait()
	return errors.Join(append(s.failures, ctx.Err())...)
}

// run carries out a fault unless another one excludes it.
func (s *storm) run(ctx context.Context, one fault) {
	if !s.claim(one.targets) {
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

func (s *storm) claim(targets []*fleet.Process) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, target := range targets {
		if s.claimed[target.Spec.Name] {
			return false
		}
	}
	for _, target := range targets {
		s.claimed[target.Spec.Name] = true
	}
	return true
}

func (s *storm) release(targets []*fleet.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, target := range targets {
		delete(s.claimed, target.Spec.Name)
	}
}

func (s *storm) drawDuration(least, most time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *storm) drawInt(below int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(below)
}

// drawProcess draws a process of a role.
func (s *storm) drawProcess(role deployment.Role) *fleet.Process {
	processes := s.env.Fleet.ByRole(role)
	return processes[s.drawInt(len(processes))]
}

// leaderOrDrawn returns the leader, or a drawn scheduler if none is known.
func (s *storm) leaderOrDrawn(ctx context.Context) *fleet.Process {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if found, err := s.env.Fleet.Leader(ctx); err == nil {
		return found
	}
	return s.drawProcess(deployment.RoleScheduler)
}

// drawFault draws a fault.
func (s *storm) drawFault(ctx context.Context) fault {
	length := s.drawDuration(stormFaultMin, stormFaultMax)
	kinds := []func(context.Context, time.Duration) fault{
		s.killLeader, s.killTwo, s.freezeLeader, s.partitionLeader, s.partitionZone, s.jumpClock, s.loseDisk,
		s.killAny, s.killAny, s.freezeAny, s.partitionWorker, s.partitionWorker, s.reorderAll, s.resetAll, s.stallAny,
		s.drain, s.raceConfigs,
	}
	return kinds[s.drawInt(len(kinds))](ctx, length)
}

// onSchedulers is a fault of schedulers; several may overlap.
func (s *storm) onSchedulers(do action) attempt {
	return locked(s.schedulers.TryRLock, s.schedulers.RUnlock, do)
}

// onConfig is a fault of which there is one at a time, as it changes the
// configuration.
func (s *storm) onConfig(do action) attempt {
	return locked(s.config.TryLock, s.config.Unlock, do)
}

// locked runs do only if a lock can be had at once.
func locked(try func() bool, unlock func(), do action) attempt {
	return func() action {
		if !try() {
			return nil
		}
		return func(ctx context.Context) error {
			defer unlock()
			return do(ctx)
		}
	}
}

// always needs no lock.
func always(do action) attempt {
	return func() action { return do }
}
