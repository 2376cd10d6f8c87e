package model

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
)

// some draws places that no fault has yet, by the day's seed.
func (s *stage) some(count int) []*place {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var drawn []*place
	for _, number := range s.random.Perm(len(s.places)) {
		one := s.places[number]
		if len(drawn) < count && !s.struck[one] {
			s.struck[one] = true
			drawn = append(drawn, one)
		}
	}
	return drawn
}

// each does something in all places at once.
func each(places []*place, what func(*place)) {
	var all sync.WaitGroup
	for _, one := range places {
		all.Go(func() { what(one) })
	}
	all.Wait()
}

func (s *stage) misbehave(ctx context.Context, places []*place, behaves behaviour, length time.Duration) {
	for _, one := range places {
		one.behave(behaves)
	}
	contexttime.Sleep(ctx, length)
	for _, one := range places {
		one.behave(behaviour{})
	}
}

func (s *stage) crashAndReturn(ctx context.Context, places []*place, down time.Duration, times int) {
	each(places, func(one *place) {
		for range times {
			one.crash()
			contexttime.Sleep(ctx, down)
			one.start()
			contexttime.Sleep(ctx, down)
		}
	})
}

func (s *stage) leaveAndReturn(ctx context.Context, places []*place, down time.Duration) {
	each(places, func(one *place) {
		one.drain()
		contexttime.Sleep(ctx, down)
		one.start()
	})
}

// cutOff cuts workers' agents from all schedulers; the workers run on.
func (s *stage) cutOff(ctx context.Context, places []*place, length time.Duration) {
	var agents []string
	for _, one := range places {
		agents = append(agents, one.described().Agent)
	}
	s.cut(ctx, length, agents, names(s.schedulers))
}

// isolateLeader cuts the leader from the other schedulers and from nothing else.
func (s *stage) isolateLeader(ctx context.Context, length time.Duration) {
	leader := s.awaitLeader()
	s.cut(ctx, length, []string{leader.name}, names(s.others(leader)))
}

// cutZone cuts the leader's zone from all others.
func (s *stage) cutZone(ctx context.Context, length time.Duration) {
	inside := s.processes(s.awaitLeader().zone)
	outside := slices.DeleteFunc(s.processes(""), func(name string) bool { return slices.Contains(inside, name) })
	s.cut(ctx, length, inside, outside)
}

func (s *stage) killLeader(ctx context.Context, down time.Duration) {
	leader := s.awaitLeader()
	leader.kill()
	contexttime.Sleep(ctx, down)
	leader.start()
}

func (s *stage) restartInTurn(ctx context.Context) {
	for _, one := range s.schedulers {
		one.terminate()
		contexttime.Sleep(ctx, 200*time.Millisecond)
		one.start()
		s.awaitLeader()
	}
}

// jump has the wall clocks of the leader and of another voter jump, one ahead
// and one back, and then back again.
func (s *stage) jump(ctx context.Context, offset time.Duration) {
	leader := s.awaitLeader()
	other := slices.DeleteFunc(s.voters(), func(one *schedulerMachine) bool { return one == leader })[0]
	leader.wallOffset.Store(int64(offset))
	other.wallOffset.Store(int64(-offset))
	contexttime.Sleep(ctx, offset)
	leader.wallOffset.Store(0)
	other.wallOffset.Store(0)
}

// crossAnswers has a share of what schedulers answer to agents come late.
func (s *stage) crossAnswers(ctx context.Context, share float64, by, length time.Duration) {
	end := s.network.cross(share, by, func(way link) bool {
		return strings.HasPrefix(way.from, "scheduler-") && strings.HasPrefix(way.to, "agent-")
	})
	contexttime.Sleep(ctx, length)
	end()
}

// losePowerAfterAcknowledging has schedulers lose their power, with all that
// they did not sync, at the moment at which an order is acknowledged.
func (s *stage) losePowerAfterAcknowledging(ctx context.Context, machines []*schedulerMachine, down time.Duration) {
	s.office.put(ctx, s.office.changed(nil))
	var ending sync.WaitGroup
	for _, one := range machines {
		ending.Go(one.losePower)
	}
	ending.Wait()
	contexttime.Sleep(ctx, down)
	for _, one := range machines {
		one.start()
	}
	s.awaitLeader()
	s.office.read(ctx)
}

// loseLeadersWhileWorkEnds cuts a leader from the other schedulers, so that
// nothing it is told can be committed, while workers still tell it of ends, and
// then has it lose its power.
func (s *stage) loseLeadersWhileWorkEnds(ctx context.Context, times int) {
	for range times {
		leader := s.awaitLeader()
		s.cut(ctx, 350*time.Millisecond, []string{leader.name}, names(s.others(leader)))
		leader.losePower()
		contexttime.Sleep(ctx, time.Second)
		leader.start()
		s.awaitLeader()
		contexttime.Sleep(ctx, 2*time.Second)
	}
}

// loseDisksInTurn has voters, the leader first, lose their disks right after an
// acknowledgement, each one as soon as the one before votes again.
func (s *stage) loseDisksInTurn(ctx context.Context, count int) {
	lost := s.awaitLeader()
	for range count {
		s.office.put(ctx, s.office.changed(nil))
		lost.kill()
		lost.newDisk()
		s.fault(calllog.Entry{Process: lost.name, Action: calllog.ActionWipe})
		lost.start()
		s.awaitVoterInPlaceOf(lost)
		s.fault(calllog.Entry{Process: lost.name, Action: calllog.ActionJoined})
		s.office.read(ctx)
		lost = s.awaitLeader()
	}
}

// awaitVoterInPlaceOf waits until as many vote as should, each of which has its
// disk, and the machine has joined.
func (s *stage) awaitVoterInPlaceOf(machine *schedulerMachine) {
	s.await("all seats are taken again, and "+machine.name+" has joined", func() bool {
		leader := s.leader()
		if leader == nil {
			return false
		}
		membership := leader.membership()
		id := machine.store.ReplicaID()
		joined := hasMember(membership.Voters, id) || hasMember(membership.Learners, id)
		present := 0
		for _, one := range s.schedulers {
			if hasMember(membership.Voters, one.store.ReplicaID()) {
				present++
			}
		}
		return joined && len(membership.Outgoing) == 0 && present == 2*s.shape.tolerate+1
	})
}

// missManyChanges has a scheduler away while the configuration changes many
// times; it comes back, and the leader goes.
func (s *stage) missManyChanges(ctx context.Context, changes int) {
	leader := s.awaitLeader()
	away := slices.DeleteFunc(s.voters(), func(one *schedulerMachine) bool { return one == leader })[0]
	away.losePower()
	s.office.change(ctx, changes, time.Millisecond)
	away.start()
	contexttime.Sleep(ctx, time.Second)
	s.killLeader(ctx, time.Second)
	s.office.read(ctx)
}
