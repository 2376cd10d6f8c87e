package leaderlink

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/wait"
)

const hold = 1500 * time.Millisecond

// fakeSchedulers answers watch calls of one link.
type fakeSchedulers struct {
	mutex   sync.Mutex
	leader  string
	dead    map[string]bool
	token   uint64
	version uint64
	asked   []string
	last    fleet.WatchRequest
}

func (f *fakeSchedulers) watch(ctx context.Context, address string, request fleet.WatchRequest) (fleet.WatchAnswer, error) {
	f.mutex.Lock()
	f.asked = append(f.asked, address)
	dead, leader := f.dead[address], f.leader
	answer := fleet.WatchAnswer{
		Token: f.token, LeaderAddress: f.leader, ConfigVersion: f.version,
		Config: &api.Config{}, HoldMillis: hold.Milliseconds(),
	}
	f.last = request
	f.mutex.Unlock()
	if dead {
		<-ctx.Done()
		return fleet.WatchAnswer{}, &rpc.Error{Code: rpc.CodeTransport}
	}
	if address != leader {
		return fleet.WatchAnswer{}, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader}
	}
	wait.For(ctx, time.Duration(request.MaxWaitMillis)*time.Millisecond)
	if ctx.Err() != nil {
		return fleet.WatchAnswer{}, &rpc.Error{Code: rpc.CodeTransport}
	}
	return answer, nil
}

func (f *fakeSchedulers) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func startLink(t *testing.T, schedulers *fakeSchedulers, onConfig func(uint64, *api.Config)) *Link {
	t.Helper()
	link := New(Config{
		Process: "agent-1", Role: "agent", Zone: "z1", OnConfig: onConfig,
		Seeds: func() []string { return []string{"a", "b", "c"} },
	})
	link.watch = schedulers.watch
	if link.Fresh() {
		t.Fatal("fresh before any answer")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = link.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return link
}

func TestLearnsLeaderThroughSeedAndConfirmsConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "c", token: 4, version: 7}
		var adopted []uint64
		link := startLink(t, schedulers, func(version uint64, _ *api.Config) { adopted = append(adopted, version) })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if leader, ok := link.Leader(); leader != "c" || !ok {
			t.Fatalf("leader %q, %v", leader, ok)
		}
		if link.Token() != 4 || link.ConfigVersion() != 7 || !link.Fresh() || link.Config() == nil {
			t.Fatalf("token %d, version %d, fresh %v", link.Token(), link.ConfigVersion(), link.Fresh())
		}
		if !slices.Equal(adopted, []uint64{7}) {
			t.Fatalf("adopted %v, want 7 once", adopted)
		}
		if schedulers.last.ConfigVersion != 7 || schedulers.last.MaxWaitMillis == 0 {
			t.Fatalf("last watch %+v does not confirm version 7 in a held call", schedulers.last)
		}
	})
}

func TestFindsNextLeaderAndLosesFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startLink(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		link.Failed("a")
		if _, ok := link.Leader(); ok {
			t.Fatal("a failed leader is still named")
		}
		time.Sleep(2 * hold)
		if link.Fresh() {
			t.Fatal("fresh without an answer for longer than the hold")
		}
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 5 })
		time.Sleep(2 * time.Second)
		if leader, _ := link.Leader(); leader != "b" || link.Token() != 5 || !link.Fresh() {
			t.Fatalf("leader %q, token %d, fresh %v", leader, link.Token(), link.Fresh())
		}
	})
}

func TestHigherTokenElsewhereRelearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		link := startLink(t, schedulers, nil)
		time.Sleep(time.Second)
		if !link.ObserveToken(6) || link.ObserveToken(5) || !link.ObserveToken(6) {
			t.Fatal("tokens must only grow")
		}
		time.Sleep(2 * hold) // "a" goes on answering under token 4
		if link.Fresh() || link.Token() != 6 {
			t.Fatal("an answer under a lower token was taken")
		}
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 6 })
		time.Sleep(time.Second)
		if leader, _ := link.Leader(); leader != "b" || !link.Fresh() {
			t.Fatalf("leader %q, fresh %v", leader, link.Fresh())
		}
	})
}

func TestStateAcceptsWholeOrNothing(t *testing.T) {
	config := &api.Config{}
	good := fleet.WatchAnswer{Token: 4, ConfigVersion: 8, Config: config, HoldMillis: 1500}
	cases := []struct {
		name   string
		change func(*fleet.WatchAnswer)
		now    time.Duration
		want   error
	}{
		{"newer", func(*fleet.WatchAnswer) {}, time.Second, nil},
		{"lower token", func(a *fleet.WatchAnswer) { a.Token = 3 }, time.Second, errStaleToken},
		{"older config", func(a *fleet.WatchAnswer) { a.ConfigVersion = 6 }, time.Second, errStaleConfig},
		{"content missing", func(a *fleet.WatchAnswer) { a.Config = nil }, time.Second, errMissingConfig},
		{"no hold", func(a *fleet.WatchAnswer) { a.HoldMillis = 0 }, time.Second, errNoHold},
		{"after its hold", func(*fleet.WatchAnswer) {}, 1500 * time.Millisecond, errHoldLapsed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{token: 4, configVersion: 7, failedAt: map[string]time.Duration{}}
			answer := good
			c.change(&answer)
			_, err := s.accept(c.now, 0, "a", answer)
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if err != nil && (s.leader != "" || s.fresh(c.now)) {
				t.Fatal("a refused answer was used")
			}
		})
	}
}

func TestHintToFailedAddressIsNotFollowed(t *testing.T) {
	s := state{failedAt: map[string]time.Duration{}}
	s.failed(0, "a")
	s.hint(failedMemory/2, "a")
	if s.leader != "" {
		t.Fatal("followed a hint to an address that just failed")
	}
	s.hint(2*failedMemory, "a")
	if s.leader != "a" {
		t.Fatal("an old failure still bars the address")
	}
}

func TestForgottenLeaderIsRemembered(t *testing.T) {
	cases := []struct {
		name   string
		forget func(*state)
	}{
		{"no answer", func(s *state) { s.failed(time.Second, "a") }},
		{"unknown by hint", func(s *state) { s.hint(time.Second, "") }},
		{"an answer refused", func(s *state) { s.reject(time.Second, "a") }},
		{"forgotten twice", func(s *state) { s.forget(); s.forget() }},
		{"a hint that failed since", func(s *state) { s.hint(time.Second, "a"); s.failed(2*time.Second, "a") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{leader: "a", confirmed: true, failedAt: map[string]time.Duration{}}
			c.forget(&s)
			if s.leader != "" || s.last != "a" {
				t.Errorf("leader %q, last %q", s.leader, s.last)
			}
		})
	}
}

// TestSeedsAreAskedAtOnce has two of three seeds gone without a word.
func TestSeedsAreAskedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "c", token: 4, version: 7, dead: map[string]bool{"a": true, "b": true}}
		link := startLink(t, schedulers, nil)
		time.Sleep(roundPause)
		synctest.Wait()
		if leader, _ := link.Leader(); leader != "c" || !link.Fresh() {
			t.Fatalf("leader %q, fresh %v", leader, link.Fresh())
		}
	})
}

// TestNextLeaderIsFoundBehindADeadOne has the followers name the dead leader
// until they elect, and a seed that is gone as well.
func TestNextLeaderIsFoundBehindADeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startLink(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		time.Sleep(watchTimeout)
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 5 })
		elected := time.Now()
		for link.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		found := time.Since(elected)
		if longest := probePatience + longestRetryPause*3/2 + roundPause; found > longest {
			t.Fatalf("found after %v, want at most %v", found, longest)
		}
	})
}

func TestVersionIsEnoughForProcessesThatNeedNoContent(t *testing.T) {
	s := state{token: 4, configVersion: 7, versionOnly: true, failedAt: map[string]time.Duration{}}
	newer, err := s.accept(0, 0, "a", fleet.WatchAnswer{Token: 4, ConfigVersion: 8, HoldMillis: 1500})
	if err != nil || !newer {
		t.Fatalf("newer %v, %v", newer, err)
	}
}
