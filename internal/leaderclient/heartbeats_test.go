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

// startVersionOnlyClient runs a client with Config.VersionOnly, as an agent does.
func startVersionOnlyClient(t *testing.T, schedulers *fakeSchedulers) *Client {
	t.Helper()
	client := startClient(t, schedulers, nil)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.config.VersionOnly, client.state.versionOnly = true, true
	return client
}

// reportHeartbeatAnswers reports answers of "a" to heartbeats to the client, one an interval, until
// span has passed.
func reportHeartbeatAnswers(client *Client, duration, interval time.Duration, update HeartbeatUpdate) {
	update.Interval = interval
	for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
		client.ObserveHeartbeatAnswer("a", time.Now(), update)
	}
}

func TestHeartbeats_AnsweredInTimeLengthenWatch(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		maxCount int
	}{
		{"base interval", heartbeatInterval, int(observedTime/longWatchWait) + 1},
		{"interval with many workers", 750 * time.Millisecond, int(observedTime/longWatchWait) + 1},
		{"too slow to substitute", 2 * maxSubstituteInterval, int(observedTime/watchWait) + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				schedulers := newFakeSchedulers("a")
				client := startVersionOnlyClient(t, schedulers)
				time.Sleep(2 * watchWait)
				var answering sync.WaitGroup
				defer answering.Wait()
				answering.Go(func() {
					reportHeartbeatAnswers(client, 2*minStableTime+observedTime, c.interval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
				})
				time.Sleep(2 * minStableTime)
				before := schedulers.watchCount()
				for range int(observedTime / time.Millisecond) {
					time.Sleep(time.Millisecond)
					if !client.Fresh() {
						t.Fatal("got not fresh although heartbeats are answered, want fresh")
					}
				}
				if count := schedulers.watchCount() - before; count > c.maxCount || count == 0 {
					t.Errorf("got %d watches in %v, want 1 to %d", count, observedTime, c.maxCount)
				}
			})
		})
	}
}

// TestHeartbeats_StoppedClientStaysFresh guards against an expired lease when heartbeats stop
// because the worker ended: the client must return to short watches before the lease expires.
func TestHeartbeats_StoppedClientStaysFresh(t *testing.T) {
	for _, interval := range []time.Duration{heartbeatInterval, maxSubstituteInterval} {
		synctest.Test(t, func(t *testing.T) {
			schedulers := newFakeSchedulers("a")
			client := startVersionOnlyClient(t, schedulers)
			time.Sleep(2 * watchWait)
			reportHeartbeatAnswers(client, 2*minStableTime, interval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
			for range 10_000 {
				time.Sleep(time.Millisecond)
				if !client.Fresh() {
					t.Fatal("got not fresh after the heartbeats stopped, want fresh")
				}
			}
			if age, _ := client.TimeSinceAnswer(); age > 2*watchWait {
				t.Errorf("got the last answer %v ago, want short watches after the heartbeats stopped", age)
			}
		})
	}
}

// TestHeartbeats_StoppedByDeadLeaderFindsNext guards against a long watch to a dead leader
// that delays the discovery of the next one: it must take about as long as with short watches.
func TestHeartbeats_StoppedByDeadLeaderFindsNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		reportHeartbeatAnswers(client, 2*minStableTime, heartbeatInterval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
		schedulers.update(func() {
			schedulers.dead["a"] = true
			schedulers.leader, schedulers.token = "b", 5
		})
		diedAt := time.Now()
		for client.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		if found := time.Since(diedAt); found > heartbeatInterval+answerGrace+probeTimeout {
			t.Fatalf("found the next leader after %v, want at most heartbeatInterval + answerGrace + probeTimeout", found)
		}
	})
}

// TestHeartbeats_LateAnswersDoNotAddWatches guards against additional load on a slow leader:
// if each answer to a heartbeat is late, the leader must not get more watches than without
// heartbeats.
func TestHeartbeats_LateAnswersDoNotAddWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		before := schedulers.watchCount()
		const lateInterval = heartbeatInterval + answerGrace + 100*time.Millisecond
		for began := time.Now(); time.Since(began) < observedTime; time.Sleep(lateInterval) {
			client.ObserveHeartbeatAnswer("a", time.Now(), HeartbeatUpdate{Token: 4, ConfigVersion: 7, Interval: heartbeatInterval})
		}
		if count := schedulers.watchCount() - before; count > int(observedTime/watchWait) {
			t.Errorf("got %d watches in %v, want at most %d", count, observedTime, int(observedTime/watchWait))
		}
	})
}

func TestHeartbeats_AcceptedFromConfirmedLeaderOnly(t *testing.T) {
	validUpdate := HeartbeatUpdate{Token: 4, ConfigVersion: 8, Interval: heartbeatInterval}
	cases := []struct {
		name     string
		address  string
		change   func(*state, *HeartbeatUpdate)
		now      time.Duration
		accepted bool
	}{
		{"newer version", "a", func(*state, *HeartbeatUpdate) {}, time.Second, true},
		{"same version", "a", func(_ *state, u *HeartbeatUpdate) { u.ConfigVersion = 7 }, time.Second, true},
		{"older version", "a", func(_ *state, u *HeartbeatUpdate) { u.ConfigVersion = 6 }, time.Second, false},
		{"lower token", "a", func(_ *state, u *HeartbeatUpdate) { u.Token = 3 }, time.Second, false},
		{"higher token", "a", func(_ *state, u *HeartbeatUpdate) { u.Token = 5 }, time.Second, false},
		{"another scheduler", "b", func(*state, *HeartbeatUpdate) {}, time.Second, false},
		{"leader not confirmed", "a", func(s *state, _ *HeartbeatUpdate) { s.confirmed = false }, time.Second, false},
		{"content is needed", "a", func(s *state, _ *HeartbeatUpdate) { s.versionOnly = false }, time.Second, false},
		{"after its lease", "a", func(*state, *HeartbeatUpdate) {}, lease, false},
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
			update := validUpdate
			c.change(&s, &update)
			newer := s.observeHeartbeatAnswer(c.now, 0, c.address, update)
			if newer != (c.accepted && update.ConfigVersion > 7) {
				t.Errorf("got newer %v, want true only for an accepted answer with a version over 7", newer)
			}
			if s.fresh(c.now) != c.accepted || (s.substituteUntil > 0) != c.accepted {
				t.Errorf("got fresh %v, substituteUntil %v; want accepted %v", s.fresh(c.now), s.substituteUntil, c.accepted)
			}
		})
	}
}

func TestHeartbeats_NewerVersionIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(time.Second)
		client.ObserveHeartbeatAnswer("a", time.Now(), HeartbeatUpdate{Token: 4, ConfigVersion: 9, Interval: heartbeatInterval})
		if client.ConfigVersion() != 9 {
			t.Fatalf("got version %d in force, want 9", client.ConfigVersion())
		}
	})
}
