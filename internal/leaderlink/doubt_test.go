package leaderlink

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/rpc"
)

// TestSilentLeaderIsFoundOutByACallWithoutAnswer: the leader is gone without a
// word and another leads. A call to the old one finds that out long before its
// own deadline, and ends.
func TestSilentLeaderIsFoundOutByACallWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startLink(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"], schedulers.leader, schedulers.token = true, "b", 5 })
		wantGivenUpSoon(t, link)
		if leader, _ := link.Leader(); leader != "b" || !link.Fresh() {
			t.Errorf("leader %q, fresh %v", leader, link.Fresh())
		}
		again, end := link.Attend(t.Context(), "a")
		defer end()
		time.Sleep(doubtAfter)
		synctest.Wait()
		if again.Err() == nil {
			t.Error("a later call to the old leader goes on")
		}
	})
}

// wantGivenUpSoon has a call to "a", which is gone, end since another one leads.
func wantGivenUpSoon(t *testing.T, link *Link) {
	t.Helper()
	began := time.Now()
	ctx, end := link.Attend(t.Context(), "a")
	defer end()
	<-ctx.Done()
	if took := time.Since(began); took > doubtAfter+3*roundPause {
		t.Errorf("given up after %v", took)
	}
}

// TestSlowLeaderIsKept: a leader that answers when it is asked is kept, however
// long a call to it takes, also while others still name another one.
func TestSlowLeaderIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7}
		link := startLink(t, schedulers, nil)
		time.Sleep(time.Second)
		for range 5 {
			ctx, end := link.Attend(t.Context(), "a")
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if leader, _ := link.Leader(); leader != "a" || ctx.Err() != nil || !link.Fresh() {
					t.Fatalf("leader %q, call ended with %v, fresh %v", leader, ctx.Err(), link.Fresh())
				}
			}
			end()
		}
		if len(link.doubted) != 0 {
			t.Errorf("%d ended calls are remembered", len(link.doubted))
		}
	})
}

// TestLeaderInDoubtStaysNamed: until the one in doubt has had time to say that it
// leads, calls go on to it, and nobody is asked more often than a pause allows.
func TestLeaderInDoubtStaysNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := &fakeSchedulers{leader: "a", token: 4, version: 7, dead: map[string]bool{}}
		link := startLink(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		ctx, end := link.Attend(t.Context(), "a")
		defer end()
		time.Sleep(doubtAfter + 3*roundPause)
		schedulers.set(func() { schedulers.asked = nil })
		const looked = probeTimeout - 5*roundPause
		time.Sleep(looked)
		if leader, _ := link.Leader(); leader != "a" || ctx.Err() != nil {
			t.Errorf("leader %q, call ended with %v", leader, ctx.Err())
		}
		asked := map[string]int{}
		schedulers.set(func() {
			for _, address := range schedulers.asked {
				asked[address]++
			}
		})
		if most := int(looked/firstRetryPause) + 1; asked["a"] > 1 || asked["b"] > most || asked["b"] < 2 {
			t.Errorf("asked %v", asked)
		}
	})
}

// TestFailureFromBeforeAnAnswerIsOldNews: a call that was sent before the leader
// answered another one says nothing when it fails.
func TestFailureFromBeforeAnAnswerIsOldNews(t *testing.T) {
	link := New(Config{Process: "agent-1"})
	link.state.leader, link.state.confirmed = "a", true
	link.state.confirmedAt = link.now()
	early := outcome{address: "a", sentAt: link.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeTransport}}
	hinted := outcome{address: "b", sentAt: link.state.confirmedAt - 1, err: &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: "c"}}
	for _, got := range []outcome{early, hinted} {
		link.take(context.Background(), got)
		if leader, confirmed := link.state.target(); leader != "a" || !confirmed {
			t.Errorf("after %v: leader %q, confirmed %v", got.err, leader, confirmed)
		}
	}
}
