package replica

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

// newTestLeaderTerm returns a leaderTerm whose Lead sends its token to tokens, and returns
// after its context has ended and release was called.
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
		t.Error("follower: got canStart true, want false")
	}
	term.begin(7)
	if term.canStart(100) {
		t.Error("before an entry of the term is committed: got canStart true, want false")
	}
	term.readyIndex = 50
	if term.canStart(49) {
		t.Error("before that entry is applied: got canStart true, want false")
	}
	if !term.canStart(50) {
		t.Error("once that entry is applied: got canStart false, want true")
	}
	term.started = true
	if term.canStart(50) {
		t.Error("already started in the term: got canStart true, want false")
	}
}

func TestLeaderTerm_LeadOfEarlierTermReturnsFirst(t *testing.T) {
	term, tokens, release := newTestLeaderTerm(t)
	term.begin(7)
	term.start(context.Background())
	if got := <-tokens; got != 7 {
		t.Fatalf("Lead called with token %d, want 7", got)
	}
	term.end(time.Second)
	if term.previousLeadReturned(time.Second) {
		t.Fatal("Lead reported as returned while it runs")
	}
	if term.warned {
		t.Error("warning logged before leadReturnGrace has passed")
	}
	if term.previousLeadReturned(time.Second+leadReturnGrace+1) || !term.warned {
		t.Error("after leadReturnGrace: Lead reported as returned, or no warning logged")
	}
	release()
	term.waitForLead()
	if !term.previousLeadReturned(3 * time.Second) {
		t.Error("Lead has returned, but is not reported as returned")
	}
}
