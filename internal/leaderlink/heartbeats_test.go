package leaderlink

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/fleet"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	testedSpan        = 20 * time.Second
)

// startVersionLink is the link of an agent, which needs only versions.
func startVersionLink(t *testing.T, schedulers *fakeSchedulers) *Link {
	t.Helper()
	link := startLink(t, schedulers, nil)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.config.VersionOnly, link.state.versionOnly = true, true
	return link
}

// answerHeartbeats answers a heartbeat of the link's process again and again.
func answerHeartbeats(link *Link, span, interval time.Duration, news HeartbeatNews) {
	news.Interval = interval
	for began := time.Now(); time.Since(began) < span; time.Sleep(interval) {
		link.HeartbeatAnswered("a", time.Now(), news)
	}
}

func (f *fakeSchedulers) watches() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.asked)
}

func TestWatchIsHeldLongWhileHeartbeatsAreAnswered(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		longest  int
	}{
		{"base interval", heartbeatInterval, int(testedSpan/quietWatchWait) + 1},
		{"interval of a large fleet", 750 * time.Millisecond, int(testedSpan/quietWatchWait) + 1},
		{"too slow to stand in", 2 * longestInterval, int(testedSpan/watchWait) + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
				link := startVersionLink(t, schedulers)
				time.Sleep(2 * watchWait)
				var answering sync.WaitGroup
				defer answering.Wait()
				answering.Go(func() {
					answerHeartbeats(link, 2*steadyTime+testedSpan, c.interval, HeartbeatNews{Token: 4, ConfigVersion: 7})
				})
				time.Sleep(2 * steadyTime)
				before := schedulers.watches()
				for range int(testedSpan / time.Millisecond) {
					time.Sleep(time.Millisecond)
					if !link.Fresh() {
						t.Fatal("not fresh although heartbeats are answered")
					}
				}
				if asked := schedulers.watches() - before; asked > c.longest || asked == 0 {
					t.Errorf("%d watches in %v, want 1 to %d", asked, testedSpan, c.longest)
				}
			})
		})
	}
}

// TestFreshWhenHeartbeatsStop has the worker end while the leader goes on: the watch
// takes over before the hold is over.
func TestFreshWhenHeartbeatsStop(t *testing.T) {
	for _, interval := range []time.Duration{heartbeatInterval, longestInterval} {
		synctest.Test(t, func(t *testing.T) {
			schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
			link := startVersionLink(t, schedulers)
			time.Sleep(2 * watchWait)
			answerHeartbeats(link, 2*steadyTime, interval, HeartbeatNews{Token: 4, ConfigVersion: 7})
			for range 10_000 {
				time.Sleep(time.Millisecond)
				if !link.Fresh() {
					t.Fatal("not fresh after the heartbeats stopped")
				}
			}
			if age, _ := link.Age(); age > 2*watchWait {
				t.Errorf("last answer %v ago: the watch was not taken up again", age)
			}
		})
	}
}

// TestDeadLeaderIsDoubtedWhenHeartbeatsStop has the leader go without a word while a
// watch is held for long: the next one is found about as soon as with short
// watches.
func TestDeadLeaderIsDoubtedWhenHeartbeatsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startVersionLink(t, schedulers)
		time.Sleep(2 * watchWait)
		answerHeartbeats(link, 2*steadyTime, heartbeatInterval, HeartbeatNews{Token: 4, ConfigVersion: 7})
		schedulers.set(func() {
			schedulers.dead["a"] = true
			schedulers.leader, schedulers.token = "b", 5
		})
		lost := time.Now()
		for link.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		if found := time.Since(lost); found > heartbeatInterval+answerPatience+probeTimeout {
			t.Fatalf("found the next leader after %v", found)
		}
	})
}

// TestSlowLeaderIsNotDoubtedAgainAndAgain has heartbeats answered so late that
// each would be overdue: the leader gets no more watches than without them.
func TestSlowLeaderIsNotDoubtedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		link := startVersionLink(t, schedulers)
		time.Sleep(2 * watchWait)
		before := schedulers.watches()
		const late = heartbeatInterval + answerPatience + 100*time.Millisecond
		for began := time.Now(); time.Since(began) < testedSpan; time.Sleep(late) {
			link.HeartbeatAnswered("a", time.Now(), HeartbeatNews{Token: 4, ConfigVersion: 7, Interval: heartbeatInterval})
		}
		if asked := schedulers.watches() - before; asked > int(testedSpan/watchWait) {
			t.Errorf("%d watches in %v, want at most %d", asked, testedSpan, int(testedSpan/watchWait))
		}
	})
}

func TestHeartbeatsCountFromTheWatchedLeaderOnly(t *testing.T) {
	good := HeartbeatNews{Token: 4, ConfigVersion: 8, Interval: heartbeatInterval}
	cases := []struct {
		name    string
		address string
		change  func(*state, *HeartbeatNews)
		now     time.Duration
		taken   bool
	}{
		{"newer version", "a", func(*state, *HeartbeatNews) {}, time.Second, true},
		{"same version", "a", func(_ *state, b *HeartbeatNews) { b.ConfigVersion = 7 }, time.Second, true},
		{"older version", "a", func(_ *state, b *HeartbeatNews) { b.ConfigVersion = 6 }, time.Second, false},
		{"lower token", "a", func(_ *state, b *HeartbeatNews) { b.Token = 3 }, time.Second, false},
		{"higher token", "a", func(_ *state, b *HeartbeatNews) { b.Token = 5 }, time.Second, false},
		{"another scheduler", "b", func(*state, *HeartbeatNews) {}, time.Second, false},
		{"leader not confirmed", "a", func(s *state, _ *HeartbeatNews) { s.confirmed = false }, time.Second, false},
		{"content is needed", "a", func(s *state, _ *HeartbeatNews) { s.versionOnly = false }, time.Second, false},
		{"after its hold", "a", func(*state, *HeartbeatNews) {}, hold, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{versionOnly: true, failedAt: map[string]time.Duration{}}
			watched := fleet.WatchAnswer{Token: 4, ConfigVersion: 7, HoldMillis: hold.Milliseconds()}
			if _, err := s.accept(0, 0, "a", watched); err != nil {
				t.Fatal(err)
			}
			s.adopt(7, nil)
			s.freshUntil = 0
			news := good
			c.change(&s, &news)
			newer := s.heartbeatAnswered(c.now, 0, c.address, news)
			if newer != (c.taken && news.ConfigVersion > 7) {
				t.Errorf("newer %v", newer)
			}
			if s.fresh(c.now) != c.taken || (s.standInUntil > 0) != c.taken {
				t.Errorf("fresh %v, stands in until %v; want %v", s.fresh(c.now), s.standInUntil, c.taken)
			}
		})
	}
}

func TestHeartbeatPutsTheVersionInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		link := startVersionLink(t, schedulers)
		time.Sleep(time.Second)
		link.HeartbeatAnswered("a", time.Now(), HeartbeatNews{Token: 4, ConfigVersion: 9, Interval: heartbeatInterval})
		if link.ConfigVersion() != 9 {
			t.Fatalf("version %d in force, want 9", link.ConfigVersion())
		}
	})
}

// TestLateWatchIsNews has an answer come after the hold of its own watch, which
// is right only while something else kept the process fresh.
func TestLateWatchIsNews(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		s := state{versionOnly: true, failedAt: map[string]time.Duration{}}
		if fresh {
			s.freshUntil = 3 * hold
		}
		_, err := s.accept(2*hold, 0, "a", fleet.WatchAnswer{Token: 4, ConfigVersion: 8, HoldMillis: hold.Milliseconds()})
		if (err == nil) != fresh {
			t.Errorf("fresh %v: %v", fresh, err)
		}
	}
}

// TestCallInDoubtEndsALongWatch: a heartbeat without an answer finds the next
// leader as soon as it does with short watches.
func TestCallInDoubtEndsALongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startVersionLink(t, schedulers)
		time.Sleep(2 * watchWait)
		answerHeartbeats(link, 2*steadyTime, heartbeatInterval, HeartbeatNews{Token: 4, ConfigVersion: 7})
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		wantGivenUpSoon(t, link)
	})
}
