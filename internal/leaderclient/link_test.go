package leaderclient

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const lease = 1500 * time.Millisecond

// fakeSchedulers answers watch calls of one link.
type fakeSchedulers struct {
	mutex       sync.Mutex
	leader      string
	dead        map[string]bool
	token       uint64
	version     uint64
	watched     []string
	lastRequest protocol.WatchRequest
}

func (f *fakeSchedulers) watch(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
	f.mutex.Lock()
	f.watched = append(f.watched, address)
	dead, leader := f.dead[address], f.leader
	answer := protocol.WatchAnswer{
		Token: f.token, LeaderAddress: f.leader, ConfigVersion: f.version,
		Config: &api.Config{}, LeaseMillis: lease.Milliseconds(),
	}
	f.lastRequest = request
	f.mutex.Unlock()
	if dead {
		<-ctx.Done()
		return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeTransport}
	}
	if address != leader {
		return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader}
	}
	contexttime.Sleep(ctx, time.Duration(request.MaxWaitMillis)*time.Millisecond)
	if ctx.Err() != nil {
		return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeTransport}
	}
	return answer, nil
}

func (f *fakeSchedulers) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func startClient(t *testing.T, schedulers *fakeSchedulers, onConfig func(uint64, *api.Config)) *Client {
	t.Helper()
	client := New(Config{
		Process: "agent-1", Role: "agent", Zone: "z1", OnConfig: onConfig,
		Seeds: func() []string { return []string{"a", "b", "c"} },
	})
	client.watch = schedulers.watch
	if client.Fresh() {
		t.Fatal("fresh before any answer")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return client
}

func TestClient_FindsLeaderThroughSeedAndConfirmsConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "c", token: 4, version: 7}
		var adopted []uint64
		client := startClient(t, schedulers, func(version uint64, _ *api.Config) { adopted = append(adopted, version) })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if leader, ok := client.Leader(); leader != "c" || !ok {
			t.Fatalf("leader %q, %v", leader, ok)
		}
		if client.Token() != 4 || client.ConfigVersion() != 7 || !client.Fresh() || client.Config() == nil {
			t.Fatalf("token %d, version %d, fresh %v", client.Token(), client.ConfigVersion(), client.Fresh())
		}
		if !slices.Equal(adopted, []uint64{7}) {
			t.Fatalf("adopted %v, want 7 once", adopted)
		}
		if schedulers.lastRequest.ConfigVersion != 7 || schedulers.lastRequest.MaxWaitMillis == 0 {
			t.Fatalf("last watch %+v does not confirm version 7 in a held call", schedulers.lastRequest)
		}
	})
}

func TestClient_FindsNextLeaderAfterLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		client.ReportFailure("a")
		if _, ok := client.Leader(); ok {
			t.Fatal("a failed leader is still named")
		}
		time.Sleep(2 * lease)
		if client.Fresh() {
			t.Fatal("fresh without an answer for longer than the hold")
		}
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 5 })
		time.Sleep(2 * time.Second)
		if leader, _ := client.Leader(); leader != "b" || client.Token() != 5 || !client.Fresh() {
			t.Fatalf("leader %q, token %d, fresh %v", leader, client.Token(), client.Fresh())
		}
	})
}

func TestClient_HigherTokenElsewhereFindsNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		if !client.ObserveToken(6) || client.ObserveToken(5) || !client.ObserveToken(6) {
			t.Fatal("tokens must only grow")
		}
		time.Sleep(2 * lease) // "a" goes on answering under token 4
		if client.Fresh() || client.Token() != 6 {
			t.Fatal("an answer under a lower token was taken")
		}
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 6 })
		time.Sleep(time.Second)
		if leader, _ := client.Leader(); leader != "b" || !client.Fresh() {
			t.Fatalf("leader %q, fresh %v", leader, client.Fresh())
		}
	})
}

func TestState_AcceptsAnswerCompletelyOrNotAtAll(t *testing.T) {
	config := &api.Config{}
	good := protocol.WatchAnswer{Token: 4, ConfigVersion: 8, Config: config, LeaseMillis: 1500}
	cases := []struct {
		name   string
		change func(*protocol.WatchAnswer)
		now    time.Duration
		want   error
	}{
		{"newer", func(*protocol.WatchAnswer) {}, time.Second, nil},
		{"lower token", func(a *protocol.WatchAnswer) { a.Token = 3 }, time.Second, errStaleToken},
		{"older config", func(a *protocol.WatchAnswer) { a.ConfigVersion = 6 }, time.Second, errStaleConfig},
		{"content missing", func(a *protocol.WatchAnswer) { a.Config = nil }, time.Second, errMissingConfig},
		{"no hold", func(a *protocol.WatchAnswer) { a.LeaseMillis = 0 }, time.Second, errNoLease},
		{"after its hold", func(*protocol.WatchAnswer) {}, 1500 * time.Millisecond, errLeaseExpired},
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

func TestState_HintToFailedAddressIsNotFollowed(t *testing.T) {
	s := state{failedAt: map[string]time.Duration{}}
	s.observeFailure(0, "a")
	s.observeHint(failureMemory/2, "a")
	if s.leader != "" {
		t.Fatal("followed a hint to an address that just failed")
	}
	s.observeHint(2*failureMemory, "a")
	if s.leader != "a" {
		t.Fatal("an old failure still bars the address")
	}
}

func TestState_RemembersPreviousLeader(t *testing.T) {
	cases := []struct {
		name   string
		forget func(*state)
	}{
		{"no answer", func(s *state) { s.observeFailure(time.Second, "a") }},
		{"unknown by hint", func(s *state) { s.observeHint(time.Second, "") }},
		{"an answer refused", func(s *state) { s.reject(time.Second, "a") }},
		{"forgotten twice", func(s *state) { s.forgetLeader(); s.forgetLeader() }},
		{"a hint that failed since", func(s *state) { s.observeHint(time.Second, "a"); s.observeFailure(2*time.Second, "a") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{leader: "a", confirmed: true, failedAt: map[string]time.Duration{}}
			c.forget(&s)
			if s.leader != "" || s.previousLeader != "a" {
				t.Errorf("leader %q, last %q", s.leader, s.previousLeader)
			}
		})
	}
}

// TestClient_QueriesSeedsConcurrently has two of three seeds gone without a word.
func TestClient_QueriesSeedsConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "c", token: 4, version: 7, dead: map[string]bool{"a": true, "b": true}}
		client := startClient(t, schedulers, nil)
		time.Sleep(minCallInterval)
		synctest.Wait()
		if leader, _ := client.Leader(); leader != "c" || !client.Fresh() {
			t.Fatalf("leader %q, fresh %v", leader, client.Fresh())
		}
	})
}

// TestClient_FindsNextLeaderDespiteHintsToDeadOne has the followers name the dead leader
// until they elect, and a seed that is gone as well.
func TestClient_FindsNextLeaderDespiteHintsToDeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		time.Sleep(watchTimeout)
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 5 })
		elected := time.Now()
		for client.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		found := time.Since(elected)
		if longest := probeGrace + maxRetryBackoff*3/2 + minCallInterval; found > longest {
			t.Fatalf("found after %v, want at most %v", found, longest)
		}
	})
}

func TestState_VersionOnlyAcceptsAnswerWithoutContent(t *testing.T) {
	s := state{token: 4, configVersion: 7, versionOnly: true, failedAt: map[string]time.Duration{}}
	newer, err := s.accept(0, 0, "a", protocol.WatchAnswer{Token: 4, ConfigVersion: 8, LeaseMillis: 1500})
	if err != nil || !newer {
		t.Fatalf("newer %v, %v", newer, err)
	}
}
