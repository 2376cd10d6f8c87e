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
	// stormMaxFaults is the maximum number of concurrent faults.
	stormMaxFaults = 3
	// stormIntervalMin and stormIntervalMax bound the wait before the next fault is drawn.
	stormIntervalMin = 500 * time.Millisecond
	stormIntervalMax = 2500 * time.Millisecond
	// stormFaultMin and stormFaultMax bound the duration of a fault.
	stormFaultMin = time.Second
	stormFaultMax = 12 * time.Second
	// stormTags is the number of tags reserved for one race, and the number of such ranges
	// of tags.
	stormTags = 1000
	// stormIDs bounds the random numbers in order ids and the streams of random sources.
	stormIDs = 1 << 40
)

// storm injects overlapping faults of all kinds, drawn from the seed. Two rules limit it to
// what the fleet must tolerate: while a disk is being replaced, no other scheduler is killed,
// frozen or partitioned; and at most one zone is partitioned, so that no two zones are
// without their workers at once.
type storm struct {
	env    Env
	random *rand.Rand

	// schedulers is locked for reading while schedulers are killed, frozen or partitioned,
	// and for writing while a disk is replaced. zones and config each allow one fault at a
	// time.
	schedulers sync.RWMutex
	zones      sync.Mutex
	config     sync.Mutex

	// mutex guards random and the fields below it.
	mutex sync.Mutex
	// claimed contains the names of the processes that a fault in progress targets.
	claimed  map[string]bool
	failures []error
}

// fault is one fault with all values drawn for it.
type fault struct {
	// targets are the processes that the fault claims, so that no other fault with targets
	// acts on them at the same time.
	targets []*fleet.Process
	// begin is called once the targets are claimed.
	begin attempt
}

// attempt returns the action of a fault, or nil if a fault in progress excludes it. The
// caller must run a returned action, which may hold a lock until it returns.
type attempt func() action

// action injects a fault, waits for its duration, and ends it.
type action func(context.Context) error

// runStorm draws and injects faults for the load's duration, and waits until all have ended.
func runStorm(ctx context.Context, env Env) error {
	s := &storm{env: env, random: newRandom(env, "storm"), claimed: map[string]bool{}}
	slots := make(chan struct{}, stormMaxFaults)
	var faults sync.WaitGroup
	for until := time.Now().Add(env.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		if err := sleep(ctx, s.drawDuration(stormIntervalMin, stormIntervalMax)); err != nil {
			break
		}
		slots <- struct{}{}
		next := s.drawFault(ctx)
		faults.Go(func() { s.run(ctx, next); <-slots })
	}
	faults.Wait()
	return errors.Join(append(s.failures, ctx.Err())...)
}

// run injects a fault unless a fault in progress excludes it, and records its error.
func (s *storm) run(ctx context.Context, drawn fault) {
	if !s.claim(drawn.targets) {
		return
	}
	defer s.release(drawn.targets)
	inject := drawn.begin()
	if inject == nil {
		return
	}
	if err := inject(ctx); err != nil {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.failures = append(s.failures, err)
	}
}

// claim claims all targets, or none and returns false if one of them is already claimed.
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

// release releases claimed targets.
func (s *storm) release(targets []*fleet.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, target := range targets {
		delete(s.claimed, target.Spec.Name)
	}
}

// drawDuration draws a duration from shortest up to, but not including, longest.
func (s *storm) drawDuration(shortest, longest time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

// drawInt draws a number from 0 up to, but not including, below.
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

// leaderOrDrawn returns the leader, or a random scheduler if no leader is reported within 1 s.
func (s *storm) leaderOrDrawn(ctx context.Context) *fleet.Process {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if found, err := s.env.Fleet.Leader(ctx); err == nil {
		return found
	}
	return s.drawProcess(deployment.RoleScheduler)
}

// drawFault draws a kind of fault and its values. Kinds that are listed twice are twice as
// likely.
func (s *storm) drawFault(ctx context.Context) fault {
	duration := s.drawDuration(stormFaultMin, stormFaultMax)
	kinds := []func(context.Context, time.Duration) fault{
		s.killLeader, s.killTwoSchedulers, s.freezeLeader, s.partitionLeader, s.partitionZone, s.jumpClock, s.loseDisk,
		s.killRandom, s.killRandom, s.freezeRandom, s.partitionWorker, s.partitionWorker, s.reorderAgentLinks,
		s.resetSchedulerConnections, s.stallRandom,
		s.drain, s.raceConfigs,
	}
	return kinds[s.drawInt(len(kinds))](ctx, duration)
}

// onSchedulers returns an attempt at a fault that kills, freezes or partitions schedulers.
// Several of them may overlap, but not with a disk replacement.
func (s *storm) onSchedulers(do action) attempt {
	return withLock(s.schedulers.TryRLock, s.schedulers.RUnlock, do)
}

// onConfig returns an attempt at a fault that changes the configuration, of which there is
// one at a time.
func (s *storm) onConfig(do action) attempt {
	return withLock(s.config.TryLock, s.config.Unlock, do)
}

// withLock returns an attempt that succeeds only if try takes a lock without waiting. The
// action releases the lock after do.
func withLock(try func() bool, unlock func(), do action) attempt {
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

// withoutLock returns an attempt that always succeeds.
func withoutLock(do action) attempt {
	return func() action { return do }
}
