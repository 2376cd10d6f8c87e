package leaderclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/rpc"
)

// TestSupervise_DeadLeaderIsReplacedAndCallCancelled: the leader is dead and another one
// leads. A call to the old one finds that long before its own deadline, and ends.
func TestSupervise_DeadLeaderIsReplacedAndCallCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		requireCallCancelledSoon(t, client)
		if leader, _ := client.Leader(); leader != "b" || !client.Fresh() {
			t.Errorf("leader %q, fresh %v", leader, client.Fresh())
		}
		laterCall, end := client.Supervise(t.Context(), "a")
		defer end()
		time.Sleep(suspectAfter)
		synctest.Wait()
		if laterCall.Err() == nil {
			t.Error("a later call to the old leader goes on")
		}
	})
}

// requireCallCancelledSoon has a call to "a", which is dead, end as another one leads.
func requireCallCancelledSoon(t *testing.T, client *Client) {
	t.Helper()
	began := time.Now()
	ctx, end := client.Supervise(t.Context(), "a")
	defer end()
	<-ctx.Done()
	if took := time.Since(began); took > suspectAfter+3*minCallInterval {
		t.Errorf("cancelled after %v", took)
	}
}

// TestSupervise_SlowLeaderIsKept: a leader that answers queries is kept, however long a
// call to it takes.
func TestSupervise_SlowLeaderIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
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
			t.Errorf("%d ended calls are still kept", len(client.overdueCalls))
		}
	})
}

// TestSupervise_SuspectLeaderStaysUntilReplaced: until the suspect has had time to answer
// that it leads, calls still go to it, and no scheduler is queried more often than the
// backoff allows.
func TestSupervise_SuspectLeaderStaysUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		ctx, end := client.Supervise(t.Context(), "a")
		defer end()
		time.Sleep(suspectAfter + 3*minCallInterval)
		schedulers.set(func() { schedulers.watched = nil })
		const observed = probeTimeout - 5*minCallInterval
		time.Sleep(observed)
		if leader, _ := client.Leader(); leader != "a" || ctx.Err() != nil {
			t.Errorf("leader %q, call ended with %v", leader, ctx.Err())
		}
		queried := map[string]int{}
		schedulers.set(func() {
			for _, address := range schedulers.watched {
				queried[address]++
			}
		})
		if most := int(observed/initialRetryBackoff) + 1; queried["a"] > 1 || queried["b"] > most || queried["b"] < 2 {
			t.Errorf("queried %v", queried)
		}
	})
}

// TestHandleResult_FailureBeforeConfirmationIsIgnored: the failure of a call that was sent
// before the leader answered another one has no effect.
func TestHandleResult_FailureBeforeConfirmationIsIgnored(t *testing.T) {
	client := New(Config{Process: "agent-1"})
	client.state.leader, client.state.confirmed = "a", true
	client.state.confirmedAt = client.now()
	failed := watchResult{address: "a", sentAt: client.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeTransport}}
	redirected := watchResult{address: "b", sentAt: client.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: "c"}}
	for _, got := range []watchResult{failed, redirected} {
		client.handleResult(context.Background(), got)
		if leader, confirmed := client.state.target(); leader != "a" || !confirmed {
			t.Errorf("after %v: leader %q, confirmed %v", got.err, leader, confirmed)
		}
	}
}

// TestSupervise_OverdueCallEndsLongWatch: a heartbeat without an answer finds the next
// leader as soon as with short watches.
func TestSupervise_OverdueCallEndsLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		answerHeartbeats(client, 2*minStableTime, heartbeatInterval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		requireCallCancelledSoon(t, client)
	})
}
