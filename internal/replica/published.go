package replica

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// monotonicClock measures the times that are passed to the raft node, from the
// moment that the replica was made. It goes on while the process is frozen.
type monotonicClock struct{ startedAt time.Time }

func (c monotonicClock) now() time.Duration { return time.Since(c.startedAt) }

// leadershipView is what callers need to know of the leadership at once and
// without a lock.
type leadershipView struct {
	leader bool
	term   uint64
	// leaseUntil is the monotonic end of the lease; zero before the first entry of
	// the term is committed.
	leaseUntil time.Duration
}

// published is what the loop tells all other goroutines, and the metrics, about its node. Only the
// loop writes it, always before it sends the messages of the same Ready: a
// replica that gave up its lease stops claiming it before another can lead.
type published struct {
	id        raft.ReplicaID
	monotonic monotonicClock
	metrics   *metrics

	leadership atomic.Pointer[leadershipView]
	status     atomic.Pointer[raft.Status]
	// applied is the index of the newest applied entry.
	applied watermark
	// roleChanges counts changes of term, role, leader or readiness.
	roleChanges watermark
	// running is true from the start of the loop on.
	running atomic.Bool
}

func newPublished(id raft.ReplicaID, monotonic monotonicClock, metrics *metrics) *published {
	p := &published{id: id, monotonic: monotonic, metrics: metrics}
	p.status.Store(&raft.Status{ID: id})
	p.leadership.Store(&leadershipView{})
	return p
}

// update publishes the state of the node and returns the status before. The
// status is stored before the lease: who sees the lease of a term must also see
// the commit index that the term began with.
func (p *published) update(status raft.Status) (before *raft.Status) {
	view := leadershipView{leader: status.Role == raft.RoleLeader, term: status.Term}
	if status.TermReady {
		view.leaseUntil = status.LeaseUntil
	}
	before = p.status.Swap(&status)
	if *p.leadership.Load() != view {
		p.leadership.Store(&view)
	}
	p.metrics.update(&status)
	return before
}

// leads reports whether this replica leads in the term that token names, whether
// or not it holds the lease.
func (p *published) leads(token uint64) bool {
	view := p.leadership.Load()
	return view.leader && view.term == token
}

// holdsLease compares the end of the lease with the time of the call, so that it
// is right after the process was frozen.
func (p *published) holdsLease(token uint64) bool {
	view := p.leadership.Load()
	return view.leader && view.term == token && p.monotonic.now() < view.leaseUntil
}

// holdsAnyLease reports whether this replica leads under its lease, in any term.
func (p *published) holdsAnyLease() bool {
	view := p.leadership.Load()
	return view.leader && p.holdsLease(view.term)
}

// leader returns the member that leads, if one is known.
func (p *published) leader() (raft.Member, bool) {
	status := p.status.Load()
	return findMember(status.Membership, status.Leader)
}

// notLeaderError rejects a call that only the leader answers, with the leader's
// address if another one is known.
func (p *published) notLeaderError() *rpc.Error {
	rejection := &rpc.Error{Code: rpc.CodeNotLeader, Message: "this replica does not lead"}
	if leader, known := p.leader(); known && leader.ID != p.id {
		rejection.LeaderAddress = leader.Address
	}
	return rejection
}

func roleDiffers(a, b *raft.Status) bool {
	return a.Term != b.Term || a.Role != b.Role || a.Leader != b.Leader || a.TermReady != b.TermReady
}

// checkReceiver rejects what is meant for a replica that was here before.
func (p *published) checkReceiver(id raft.ReplicaID) error {
	if id == p.id {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeBadRequest, Message: fmt.Sprintf("this is replica %s, not %s", p.id, id)}
}
