package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

func TestHoldsLease_ExpiresWhileProcessFrozen(t *testing.T) {
	client := rpc.NewClient(rpc.ClientConfig{})
	defer client.Close()
	r := newMachines(t, 1)[0].newReplica(client)
	r.published.leadership.Store(&leadershipView{leader: true, term: 7, leaseUntil: r.published.monotonic.now() + time.Hour})
	if !r.HoldsLease(7) || r.HoldsLease(6) || r.HoldsLease(8) {
		t.Fatal("lease not held in term 7, or held in term 6 or 8; want it held in term 7 only")
	}
	r.published.monotonic.startedAt = r.published.monotonic.startedAt.Add(-time.Hour) // the process was frozen for an hour
	if r.HoldsLease(7) {
		t.Fatal("lease still held after its end")
	}
}

// newTestPublished returns the published state of replica a.
func newTestPublished(t *testing.T) *published {
	t.Helper()
	metrics, err := newMetrics(nil)
	if err != nil {
		t.Fatal(err)
	}
	return newPublished("a", monotonicClock{startedAt: time.Now()}, metrics)
}

func TestPublished_LeaseFollowsStatus(t *testing.T) {
	const term = 4
	cases := map[string]struct {
		status raft.Status
		leads  bool
		holds  bool
	}{
		"leader with lease":      {raft.Status{Role: raft.RoleLeader, Term: term, TermReady: true, LeaseUntil: time.Hour}, true, true},
		"leader, lease expired":  {raft.Status{Role: raft.RoleLeader, Term: term, TermReady: true}, true, false},
		"leader, term not ready": {raft.Status{Role: raft.RoleLeader, Term: term, LeaseUntil: time.Hour}, true, false},
		"leader of another term": {raft.Status{Role: raft.RoleLeader, Term: term + 1, TermReady: true, LeaseUntil: time.Hour}, false, false},
		"follower":               {raft.Status{Role: raft.RoleFollower, Term: term, TermReady: true, LeaseUntil: time.Hour}, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPublished(t)
			before := p.update(c.status)
			if before.ID != "a" || p.status.Load().Term != c.status.Term {
				t.Errorf("previous status %+v, published status %+v; want id a in the first, the new term in the second", before, p.status.Load())
			}
			if p.leadsInTerm(term) != c.leads || p.holdsLease(term) != c.holds {
				t.Errorf("got leads %v, holds lease %v; want %v, %v", p.leadsInTerm(term), p.holdsLease(term), c.leads, c.holds)
			}
		})
	}
}

func TestPublished_RejectionNamesOtherLeader(t *testing.T) {
	for leader, want := range map[raft.ReplicaID]string{"a": "", "b": "address-b", "unknown": ""} {
		t.Run(string(leader), func(t *testing.T) {
			p := newTestPublished(t)
			p.update(raft.Status{Leader: leader, Membership: members("a", "b")})
			if got := p.notLeaderError(); got.Code != rpc.CodeNotLeader || got.LeaderAddress != want {
				t.Errorf("got %+v, want CodeNotLeader with leader address %q", got, want)
			}
		})
	}
}

func TestPublished_ReceiverMustBeThisReplica(t *testing.T) {
	p := newTestPublished(t)
	if err := p.checkReceiver("a"); err != nil {
		t.Errorf("request to this replica: got %v, want nil", err)
	}
	if err := p.checkReceiver("former"); !errors.Is(err, &rpc.Error{Code: rpc.CodeBadRequest}) {
		t.Errorf("request to a former replica at this address: got %v, want CodeBadRequest", err)
	}
}
