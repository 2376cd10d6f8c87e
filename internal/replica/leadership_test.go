package replica

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

// newTestLeaderTerm has a Lead that reports each token and returns after release.
func newTestLeaderTerm(t *testing.T) (term *leaderTerm, tokens <-chan uint64, release func()) {
	t.Helper()
	started, returns := make(chan uint64, 1), make(chan struct{}, 1)
	background := &backgroundTasks{}
	t.Cleanup(background.wait)
	term = &leaderTerm{
		lead: func(leadership Leadership) {
			started <- leadership.Token
			<-leadership.Context.Done()
			<-returns
		},
		background: background,
		logger:     slog.New(slog.DiscardHandler),
	}
	return term, started, func() { returns <- struct{}{} }
}

func TestLeaderTerm_StartsOnceRecordReflectsEarlierTerms(t *testing.T) {
	term, _, _ := newTestLeaderTerm(t)
	if term.canStart(100) {
		t.Error("a follower may start")
	}
	term.begin(7)
	if term.canStart(100) {
		t.Error("may start before an entry of the term is committed")
	}
	term.readyIndex = 50
	if term.canStart(49) {
		t.Error("may start before that entry is applied")
	}
	if !term.canStart(50) {
		t.Error("may not start once it is applied")
	}
	term.started = true
	if term.canStart(50) {
		t.Error("may start twice")
	}
}

func TestLeaderTerm_LeadOfEarlierTermReturnsFirst(t *testing.T) {
	term, tokens, release := newTestLeaderTerm(t)
	term.begin(7)
	term.start(context.Background())
	if got := <-tokens; got != 7 {
		t.Fatalf("leads with token %d, want 7", got)
	}
	term.end(time.Second)
	if term.previousLeadReturned(time.Second) {
		t.Fatal("Lead is said to have returned while it runs")
	}
	if term.warned {
		t.Error("warned at once")
	}
	if term.previousLeadReturned(time.Second+leadReturnGrace+1) || !term.warned {
		t.Error("no warning of a Lead that does not return")
	}
	release()
	term.waitForLead()
	if !term.previousLeadReturned(3 * time.Second) {
		t.Error("Lead is not said to have returned")
	}
}
