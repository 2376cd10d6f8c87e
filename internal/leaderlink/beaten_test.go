package leaderlink

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/fleet"
)

const (
	beatInterval = 200 * time.Millisecond
	beatSpan     = 20 * time.Second
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

// beatFor answers a heartbeat of the link's process again and again.
func beatFor(link *Link, span, interval time.Duration, beat Beat) {
	beat.Interval = interval
	for began := time.Now(); time.Since(began) < span; time.Sleep(interval) {
		link.Beaten("a", time.Now(), beat)
	}
}

func (f *fakeSchedulers) watches() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.asked)
}

func TestWatchIsHeldLongWhileBeaten(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		longest  int
	}{
		{"base interval", beatInterval, int(beatSpan/quietWatchWait) + 1},
		{"interval of a large fleet", 750 * time.Millisecond, int(beatSpan/quietWatchWait) + 1},
		{"too slow to stand in", 2 * longestBeat, int(beatSpan/watchWait) + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
				link := startVersionLink(t, schedulers)
				time.Sleep(2 * watchWait)
				var beating sync.WaitGroup
				defer beating.Wait()
				beating.Go(func() { beatFor(link, 2*steadyTime+beatSpan, c.interval, Beat{Token: 4, ConfigVersion: 7}) })
				time.Sleep(2 * steadyTime)
				before := schedulers.watches()
				for range int(beatSpan / time.Millisecond) {
					time.Sleep(time.Millisecond)
					if !link.Fresh() {
						t.Fatal("not fresh although heartbeats are answered")
					}
				}
				if asked := schedulers.watches() - before; asked > c.longest || asked == 0 {
					t.Errorf("%d watches in %v, want 1 to %d", asked, beatSpan, c.longest)
				}
			})
		})
	}
}

// TestFreshWhenBeatsStop has the worker end while the leader goes on: the watch
// takes over before the hold is over.
func TestFreshWhenBeatsStop(t *testing.T) {
	for _, interval := range []time.Duration{beatInterval, longestBeat} {
		synctest.Test(t, func(t *testing.T) {
			schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
			link := startVersionLink(t, schedulers)
			time.Sleep(2 * watchWait)
			beatFor(link, 2*steadyTime, interval, Beat{Token: 4, ConfigVersion: 7})
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

// TestDeadLeaderIsDoubtedWhenBeatsStop has the leader go without a word while a
// watch is held for long: the next one is found about as soon as with short
// watches.
func TestDeadLeaderIsDoubtedWhenBeatsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startVersionLink(t, schedulers)
		time.Sleep(2 * watchWait)
		beatFor(link, 2*steadyTime, beatInterval, Beat{Token: 4, ConfigVersion: 7})
		schedulers.set(func() {
			schedulers.dead["a"] = true
			schedulers.leader, schedulers.token = "b", 5
		})
		lost := time.Now()
		for link.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		if found := time.Since(lost); found > beatInterval+answerPatience+probeTimeout {
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
		const late = beatInterval + answerPatience + 100*time.Millisecond
		for began := time.Now(); time.Since(began) < beatSpan; time.Sleep(late) {
			link.Beaten("a", time.Now(), Beat{Token: 4, ConfigVersion: 7, Interval: beatInterval})
		}
		if asked := schedulers.watches() - before; asked > int(beatSpan/watchWait) {
			t.Errorf("%d watches in %v, want at most %d", asked, beatSpan, int(beatSpan/watchWait))
		}
	})
}

func TestBeatsAreTakenFromTheWatchedLeaderOnly(t *testing.T) {
	good := Beat{Token: 4, ConfigVersion: 8, Interval: beatInterval}
	cases := []struct {
		name    string
		address string
		change  func(*state, *Beat)
		now     time.Duration
		taken   bool
	}{
		{"newer version", "a", func(*state, *Beat) {}, time.Second, true},
		{"same version", "a", func(_ *state, b *Beat) { b.ConfigVersion = 7 }, time.Second, true},
		{"older version", "a", func(_ *state, b *Beat) { b.ConfigVersion = 6 }, time.Second, false},
		{"lower token", "a", func(_ *state, b *Beat) { b.Token = 3 }, time.Second, false},
		{"higher token", "a", func(_ *state, b *Beat) { b.Token = 5 }, time.Second, false},
		{"another scheduler", "b", func(*state, *Beat) {}, time.Second, false},
		{"leader not confirmed", "a", func(s *state, _ *Beat) { s.confirmed = false }, time.Second, false},
		{"content is needed", "a", func(s *state, _ *Beat) { s.versionOnly = false }, time.Second, false},
		{"after its hold", "a", func(*state, *Beat) {}, hold, false},
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
			beat := good
			c.change(&s, &beat)
			newer := s.beaten(c.now, 0, c.address, beat)
			if newer != (c.taken && beat.ConfigVersion > 7) {
				t.Errorf("newer %v", newer)
			}
			if s.fresh(c.now) != c.taken || (s.beatenUntil > 0) != c.taken {
				t.Errorf("fresh %v, stands in until %v; want %v", s.fresh(c.now), s.beatenUntil, c.taken)
			}
		})
	}
}

func TestBeatPutsTheVersionInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		link := startVersionLink(t, schedulers)
		time.Sleep(time.Second)
		link.Beaten("a", time.Now(), Beat{Token: 4, ConfigVersion: 9, Interval: beatInterval})
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
		beatFor(link, 2*steadyTime, beatInterval, Beat{Token: 4, ConfigVersion: 7})
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		wantGivenUpSoon(t, link)
	})
}
