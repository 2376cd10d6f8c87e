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
		t.Fatal("the lease is held under token 7 alone")
	}
	r.published.monotonic.startedAt = r.published.monotonic.startedAt.Add(-time.Hour) // the process was frozen for an hour
	if r.HoldsLease(7) {
		t.Fatal("the lease outlived its end")
	}
}

// newTestPublished is that of the replica a.
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
				t.Errorf("before %+v, now %+v", before, p.status.Load())
			}
			if p.leads(term) != c.leads || p.holdsLease(term) != c.holds {
				t.Errorf("leads %v, holds the lease %v; want %v, %v", p.leads(term), p.holdsLease(term), c.leads, c.holds)
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
				t.Errorf("rejected with %+v, want the address %q", got, want)
			}
		})
	}
}

func TestPublished_ReceiverMustBeThisReplica(t *testing.T) {
	p := newTestPublished(t)
	if err := p.checkReceiver("a"); err != nil {
		t.Errorf("this replica: %v", err)
	}
	if err := p.checkReceiver("former"); !errors.Is(err, &rpc.Error{Code: rpc.CodeBadRequest}) {
		t.Errorf("a former replica of this address: %v, want a bad request", err)
	}
}
