package leaderclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/rpc"
)

// TestSupervise_DeadLeaderIsReplacedAndCallCancelled: the leader is gone without a
// word and another leads. A call to the old one finds that out long before its
// own deadline, and ends.
func TestSupervise_DeadLeaderIsReplacedAndCallCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		requireCallCancelledSoon(t, client)
		if leader, _ := client.Leader(); leader != "b" || !client.Fresh() {
			t.Errorf("leader %q, fresh %v", leader, client.Fresh())
		}
		retryNow, end := client.Supervise(t.Context(), "a")
		defer end()
		time.Sleep(suspectAfter)
		synctest.Wait()
		if retryNow.Err() == nil {
			t.Error("a later call to the old leader goes on")
		}
	})
}

// requireCallCancelledSoon has a call to "a", which is gone, end since another one leads.
func requireCallCancelledSoon(t *testing.T, client *Client) {
	t.Helper()
	began := time.Now()
	ctx, end := client.Supervise(t.Context(), "a")
	defer end()
	<-ctx.Done()
	if took := time.Since(began); took > suspectAfter+3*minCallInterval {
		t.Errorf("given up after %v", took)
	}
}

// TestSupervise_SlowLeaderIsKept: a leader that answers when it is asked is kept, however
// long a call to it takes, also while others still name another one.
func TestSupervise_SlowLeaderIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		for range 5 {
			ctx, end := client.Supervise(t.Context(), "a")
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if leader, _ := client.Leader(); leader != "a" || ctx.Err() != nil || !client.Fresh() {
					t.Fatalf("leader %q, call ended with %v, fresh %v", leader, ctx.Err(), client.Fresh())
				}
			}
			end()
		}
		if len(client.overdueCalls) != 0 {
			t.Errorf("%d ended calls are remembered", len(client.overdueCalls))
		}
	})
}

// TestSupervise_SuspectLeaderStaysUntilReplaced: until the one in doubt has had time to say that it
// leads, calls go on to it, and nobody is asked more often than a pause allows.
func TestSupervise_SuspectLeaderStaysUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		ctx, end := client.Supervise(t.Context(), "a")
		defer end()
		time.Sleep(suspectAfter + 3*minCallInterval)
		schedulers.set(func() { schedulers.watched = nil })
		const looked = probeTimeout - 5*minCallInterval
		time.Sleep(looked)
		if leader, _ := client.Leader(); leader != "a" || ctx.Err() != nil {
			t.Errorf("leader %q, call ended with %v", leader, ctx.Err())
		}
		asked := map[string]int{}
		schedulers.set(func() {
			for _, address := range schedulers.watched {
				asked[address]++
			}
		})
		if most := int(looked/initialRetryBackoff) + 1; asked["a"] > 1 || asked["b"] > most || asked["b"] < 2 {
			t.Errorf("asked %v", asked)
		}
	})
}

// TestHandleResult_FailureBeforeConfirmationIsIgnored: a call that was sent before the leader
// answered another one says nothing when it fails.
func TestHandleResult_FailureBeforeConfirmationIsIgnored(t *testing.T) {
	client := New(Config{Process: "agent-1"})
	client.state.leader, client.state.confirmed = "a", true
	client.state.confirmedAt = client.now()
	early := watchResult{address: "a", sentAt: client.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeTransport}}
	hinted := watchResult{address: "b", sentAt: client.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: "c"}}
	for _, got := range []watchResult{early, hinted} {
		client.handleResult(context.Background(), got)
		if leader, confirmed := client.state.target(); leader != "a" || !confirmed {
			t.Errorf("after %v: leader %q, confirmed %v", got.err, leader, confirmed)
		}
	}
}
