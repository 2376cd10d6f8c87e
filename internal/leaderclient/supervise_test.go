package leaderclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/rpc"
)

// TestSupervise_DeadLeaderIsReplacedAndCallCancelled guards against calls that wait for a
// dead leader until their own deadline although another scheduler has become leader.
func TestSupervise_DeadLeaderIsReplacedAndCallCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.update(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		requireCallCancelledSoon(t, client)
		if leader, _ := client.Leader(); leader != "b" || !client.Fresh() {
			t.Errorf("got leader %q, fresh %v; want \"b\", true", leader, client.Fresh())
		}
		laterCall, end := client.Supervise(t.Context(), "a")
		defer end()
		time.Sleep(suspectAfter)
		synctest.Wait()
		if laterCall.Err() == nil {
			t.Error("later call to the old leader was not cancelled")
		}
	})
}

// requireCallCancelledSoon makes a supervised call to "a", which must be dead while another
// scheduler leads, and checks that the call is cancelled soon after suspectAfter.
func requireCallCancelledSoon(t *testing.T, client *Client) {
	t.Helper()
	began := time.Now()
	ctx, end := client.Supervise(t.Context(), "a")
	defer end()
	<-ctx.Done()
	if elapsed := time.Since(began); elapsed > suspectAfter+3*minCallInterval {
		t.Errorf("call cancelled after %v, want at most suspectAfter + 3*minCallInterval", elapsed)
	}
}

// TestSupervise_SlowLeaderIsNotReplaced guards against dropping a leader that answers probes but is
// slow to answer another call.
func TestSupervise_SlowLeaderIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		for range 5 {
			ctx, end := client.Supervise(t.Context(), "a")
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if leader, _ := client.Leader(); leader != "a" || ctx.Err() != nil || !client.Fresh() {
					t.Fatalf("got leader %q, call error %v, fresh %v; want \"a\", no error, true", leader, ctx.Err(), client.Fresh())
				}
			}
			end()
		}
		if len(client.overdueCalls) != 0 {
			t.Errorf("got %d overdue calls after all calls ended, want 0", len(client.overdueCalls))
		}
	})
}

// TestSupervise_SuspectLeaderStaysUntilReplaced guards against dropping a suspected leader
// before its probe has timed out: until then, calls still go to it, and no scheduler is
// probed more often than the backoff allows.
func TestSupervise_SuspectLeaderStaysUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.update(func() { schedulers.dead["a"] = true })
		ctx, end := client.Supervise(t.Context(), "a")
		defer end()
		time.Sleep(suspectAfter + 3*minCallInterval)
		schedulers.update(func() { schedulers.watchedAddresses = nil })
		const observed = probeTimeout - 5*minCallInterval
		time.Sleep(observed)
		if leader, _ := client.Leader(); leader != "a" || ctx.Err() != nil {
			t.Errorf("got leader %q, call error %v; want \"a\", no error", leader, ctx.Err())
		}
		queried := map[string]int{}
		schedulers.update(func() {
			for _, address := range schedulers.watchedAddresses {
				queried[address]++
			}
		})
		if maxProbes := int(observed/initialRetryBackoff) + 1; queried["a"] > 1 || queried["b"] > maxProbes || queried["b"] < 2 {
			t.Errorf("got probes %v, want at most 1 of \"a\", and of \"b\" 2 or more within the backoff", queried)
		}
	})
}

// TestHandleResult_FailureBeforeConfirmationIsIgnored guards against dropping a leader that
// was just confirmed, because of the failure of a call that was sent before.
func TestHandleResult_FailureBeforeConfirmationIsIgnored(t *testing.T) {
	client := New(Config{Process: "agent-1"})
	client.state.leader, client.state.confirmed = "a", true
	client.state.confirmedAt = client.now()
	failed := watchResult{address: "a", sentAt: client.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeTransport}}
	redirected := watchResult{address: "b", sentAt: client.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: "c"}}
	for _, got := range []watchResult{failed, redirected} {
		client.handleResult(context.Background(), got)
		if leader, confirmed := client.state.watchTarget(); leader != "a" || !confirmed {
			t.Errorf("after %v: got leader %q, confirmed %v; want \"a\", true", got.err, leader, confirmed)
		}
	}
}

// TestSupervise_OverdueCallEndsLongWatch guards against a long watch that delays the
// discovery of the next leader: an unanswered call must end it as soon as a short watch.
func TestSupervise_OverdueCallEndsLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startVersionOnlyClient(t, schedulers)
		time.Sleep(2 * watchWait)
		reportHeartbeatAnswers(client, 2*minStableTime, heartbeatInterval, HeartbeatUpdate{Token: 4, ConfigVersion: 7})
		schedulers.update(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		requireCallCancelledSoon(t, client)
	})
}
