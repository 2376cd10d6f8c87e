package replica

import (
	"errors"
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

func newProposal(token uint64) *proposal {
	return &proposal{token: token, done: make(chan proposalOutcome, 1)}
}

func TestProposal_AbandonErrorDependsOnState(t *testing.T) {
	errNotTaken, errTaken := errors.New("not taken"), errors.New("taken")
	leader := raft.Status{Role: raft.RoleLeader, Term: 3}
	cases := map[string]struct {
		prepare func(*proposal)
		index   uint64
		want    error
	}{
		"queued":   {func(*proposal) {}, 0, errNotTaken},
		"taken":    {func(p *proposal) { admit(p, leader) }, 0, errTaken},
		"applied":  {func(p *proposal) { admit(p, leader); p.finish(record.Result{Index: 7}, nil) }, 7, nil},
		"rejected": {func(p *proposal) { p.reject(ErrStopped) }, 0, ErrStopped},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newProposal(3)
			c.prepare(p)
			result, err := p.abandon(errNotTaken, errTaken)
			if !errors.Is(err, c.want) || result.Index != c.index {
				t.Errorf("got %+v, %v; want index %d, %v", result, err, c.index, c.want)
			}
		})
	}
}

func TestProposal_AdmitRejectsOtherTermsAndCanceled(t *testing.T) {
	leader := raft.Status{Role: raft.RoleLeader, Term: 3}
	follower := raft.Status{Role: raft.RoleFollower, Term: 3}
	for name, c := range map[string]struct {
		token  uint64
		status raft.Status
		admit  bool
	}{
		"leader of the term": {3, leader, true},
		"earlier term":       {2, leader, false},
		"follower":           {3, follower, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProposal(c.token)
			if got := admit(p, c.status); got != c.admit {
				t.Fatalf("admitted: got %v, want %v", got, c.admit)
			}
			if !c.admit {
				if outcome := <-p.done; !errors.Is(outcome.err, ErrNotLeader) {
					t.Errorf("outcome: got %v, want ErrNotLeader", outcome.err)
				}
			}
		})
	}
	canceled := newProposal(3)
	_, _ = canceled.abandon(ErrOverloaded, ErrOutcomeUnknown)
	if admit(canceled, leader) || len(canceled.done) != 0 {
		t.Error("canceled proposal was admitted or completed")
	}
}

func TestPendingProposals_OverwrittenEntryIsNotLeader(t *testing.T) {
	const index = 9
	for name, c := range map[string]struct {
		term uint64
		want error
	}{"own term": {4, nil}, "another term": {5, ErrNotLeader}} {
		t.Run(name, func(t *testing.T) {
			p := newProposal(4)
			p.term = 4
			pending := pendingProposals{index: p}
			pending.complete(raft.Entry{Index: index + 1, Term: c.term}, record.Result{})
			if len(p.done) != 0 {
				t.Fatal("proposal completed by the entry after its own")
			}
			pending.complete(raft.Entry{Index: index, Term: c.term}, record.Result{Index: index})
			if outcome := <-p.done; !errors.Is(outcome.err, c.want) || len(pending) != 0 {
				t.Errorf("got outcome %v, %d pending; want %v, 0 pending", outcome.err, len(pending), c.want)
			}
		})
	}
}

func TestPendingReads_CompletesByRequest(t *testing.T) {
	first, second := make(chan readOutcome, 1), make(chan readOutcome, 1)
	reads := pendingReads{byID: map[uint64]chan<- readOutcome{1: first, 2: second}}
	reads.complete([]raft.ReadState{{Request: 2, Index: 40}, {Request: 3, Index: 41}})
	if outcome := <-second; outcome.index != 40 || outcome.err != nil {
		t.Errorf("second read: got %+v, want index 40", outcome)
	}
	reads.fail(ErrNotLeader)
	if outcome := <-first; !errors.Is(outcome.err, ErrNotLeader) || len(reads.byID) != 0 {
		t.Errorf("first read: got %+v, %d pending; want ErrNotLeader, 0 pending", outcome, len(reads.byID))
	}
}
