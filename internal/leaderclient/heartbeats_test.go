package leaderclient

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/protocol"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	observedTime      = 20 * time.Second
)

// startVersionOnlyClient is the link of an agent, which needs only versions.
func startVersionOnlyClient(t *testing.T, schedulers *fakeSchedulers) *Client {
	t.Helper()
	client := startClient(t, schedulers, nil)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.config.VersionOnly, client.state.versionOnly = true, true
	return client
}

// answerHeartbeats answers a heartbeat of the link's process again and again.
func answerHeartbeats(client *Client, span, interval time.Duration, update HeartbeatUpdate) {
	update.Interval = interval
	for began := time.Now(); time.Since(began) < span; time.Sleep(interval) {
		client.ObserveHeartbeatAnswer("a", time.Now(), update)
	}
}

func (f *fakeSchedulers) watchCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.watched)
}

func TestHeartbeats_AnsweredInTimeLengthenWatch(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		longest  int
	}{
		{"base interval", heartbeatInterval, int(observedTime/longWatchWait) + 1},
		{"interval of a large fleet", 750 * time.Millisecond, int(observedTime/longWatchWait) + 1},
		{"too slow to stand in", 2 * maxSubstituteInterval, int(observedTime/watchWait) + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
				client := startVersionOnlyClient(t, schedulers)
				time.Sleep(2 * watchWait)
				var answering sync.WaitGroup
				defer answering.Wait()
				answering.Go(func() {
					answerHeartbeats(client, 2*minStableTime+observedTime, c.interval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
				})
				time.Sleep(2 * minStableTime)
				before := schedulers.watchCount()
				for range int(observedTime / time.Millisecond) {
					time.Sleep(time.Millisecond)
					if !client.Fresh() {
						t.Fatal("not fresh although heartbeats are answered")
					}
				}
				if asked := schedulers.watchCount() - before; asked > c.longest || asked == 0 {
					t.Errorf("%d watches in %v, want 1 to %d", asked, observedTime, c.longest)
				}
			})
		})
	}
}

// TestHeartbeats_StoppedKeepsClientFresh has the worker end while the leader goes on: the watch
// takes over before the hold is over.
func TestHeartbeats_StoppedKeepsClientFresh(t *testing.T) {
	for _, interval := range []time.Duration{heartbeatInterval, maxSubstituteInterval} {
		synctest.Test(t, func(t *testing.T) {
			schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
			client := startVersionOnlyClient(t, schedulers)
			time.Sleep(2 * watchWait)
			answerHeartbeats(client, 2*minStableTime, interval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
			for range 10_000 {
				time.Sleep(time.Millisecond)
				if !client.Fresh() {
					t.Fatal("not fresh after the heartbeats stopped")
				}
			}
			if age, _ := client.Age(); age > 2*watchWait {
				t.Errorf("last answer %v ago: the watch was not taken up again", age)
			}
		})
	}
}

// TestHeartbeats_StoppedByDeadLeaderFindsNext has the leader go without a word while a
// watch is held for long: the next one is found about as soon as with short
// watches.
func TestHeartbeats_StoppedByDeadLeaderFindsNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		answerHeartbeats(client, 2*minStableTime, heartbeatInterval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
		schedulers.set(func() {
			schedulers.dead["a"] = true
			schedulers.leader, schedulers.token = "b", 5
		})
		lost := time.Now()
		for client.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		if found := time.Since(lost); found > heartbeatInterval+answerGrace+probeTimeout {
			t.Fatalf("found the next leader after %v", found)
		}
	})
}

// TestHeartbeats_LateAnswersDoNotAddWatches has heartbeats answered so late that
// each would be overdue: the leader gets no more watches than without them.
func TestHeartbeats_LateAnswersDoNotAddWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		before := schedulers.watchCount()
		const late = heartbeatInterval + answerGrace + 100*time.Millisecond
		for began := time.Now(); time.Since(began) < observedTime; time.Sleep(late) {
			client.ObserveHeartbeatAnswer("a", time.Now(), HeartbeatUpdate{Token: 4, ConfigVersion: 7, Interval: heartbeatInterval})
		}
		if asked := schedulers.watchCount() - before; asked > int(observedTime/watchWait) {
			t.Errorf("%d watches in %v, want at most %d", asked, observedTime, int(observedTime/watchWait))
		}
	})
}

func TestHeartbeats_CountFromConfirmedLeaderOnly(t *testing.T) {
	good := HeartbeatUpdate{Token: 4, ConfigVersion: 8, Interval: heartbeatInterval}
	cases := []struct {
		name    string
		address string
		change  func(*state, *HeartbeatUpdate)
		now     time.Duration
		taken   bool
	}{
		{"newer version", "a", func(*state, *HeartbeatUpdate) {}, time.Second, true},
		{"same version", "a", func(_ *state, b *HeartbeatUpdate) { b.ConfigVersion = 7 }, time.Second, true},
		{"older version", "a", func(_ *state, b *HeartbeatUpdate) { b.ConfigVersion = 6 }, time.Second, false},
		{"lower token", "a", func(_ *state, b *HeartbeatUpdate) { b.Token = 3 }, time.Second, false},
		{"higher token", "a", func(_ *state, b *HeartbeatUpdate) { b.Token = 5 }, time.Second, false},
		{"another scheduler", "b", func(*state, *HeartbeatUpdate) {}, time.Second, false},
		{"leader not confirmed", "a", func(s *state, _ *HeartbeatUpdate) { s.confirmed = false }, time.Second, false},
		{"content is needed", "a", func(s *state, _ *HeartbeatUpdate) { s.versionOnly = false }, time.Second, false},
		{"after its hold", "a", func(*state, *HeartbeatUpdate) {}, lease, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{versionOnly: true, failedAt: map[string]time.Duration{}}
			watched := protocol.WatchAnswer{Token: 4, ConfigVersion: 7, LeaseMillis: lease.Milliseconds()}
			if _, err := s.accept(0, 0, "a", watched); err != nil {
				t.Fatal(err)
			}
			s.adopt(7, nil)
			s.freshUntil = 0
			update := good
			c.change(&s, &update)
			newer := s.observeHeartbeatAnswer(c.now, 0, c.address, update)
			if newer != (c.taken && update.ConfigVersion > 7) {
				t.Errorf("newer %v", newer)
			}
			if s.fresh(c.now) != c.taken || (s.substituteUntil > 0) != c.taken {
				t.Errorf("fresh %v, stands in until %v; want %v", s.fresh(c.now), s.substituteUntil, c.taken)
			}
		})
	}
}

func TestHeartbeats_NewerVersionIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(time.Second)
		client.ObserveHeartbeatAnswer("a", time.Now(), HeartbeatUpdate{Token: 4, ConfigVersion: 9, Interval: heartbeatInterval})
		if client.ConfigVersion() != 9 {
			t.Fatalf("version %d in force, want 9", client.ConfigVersion())
		}
	})
}

// TestState_LateWatchCountsOnlyWhileFresh has an answer come after the hold of its own watch, which
// is right only while something else kept the process fresh.
func TestState_LateWatchCountsOnlyWhileFresh(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		s := state{versionOnly: true, failedAt: map[string]time.Duration{}}
		if fresh {
			s.freshUntil = 3 * lease
		}
		_, err := s.accept(2*lease, 0, "a", protocol.WatchAnswer{Token: 4, ConfigVersion: 8, LeaseMillis: lease.Milliseconds()})
		if (err == nil) != fresh {
			t.Errorf("fresh %v: %v", fresh, err)
		}
	}
}

// TestSupervise_OverdueCallEndsLongWatch: a heartbeat without an answer finds the next
// leader as soon as it does with short watches.
func TestSupervise_OverdueCallEndsLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		answerHeartbeats(client, 2*minStableTime, heartbeatInterval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		requireCallCancelledSoon(t, client)
	})
}
