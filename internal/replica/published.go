package replica

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// monotonicClock measures the time since the replica was created, which is passed to the
// raft node. It keeps running while the process is frozen.
type monotonicClock struct{ startedAt time.Time }

func (c monotonicClock) now() time.Duration { return time.Since(c.startedAt) }

// leadershipView holds the leadership state that callers read as one consistent value,
// without a lock.
type leadershipView struct {
	leader bool
	term   uint64
	// leaseUntil is the monotonic time at which the lease ends; 0 before the first entry
	// of the term is committed.
	leaseUntil time.Duration
}

// published is the state of the node as other goroutines and the metrics see it. Only the
// loop writes it, always before it sends the messages of the same Ready, so that a replica
// that gave up its lease stops claiming it before another replica can lead.
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
	// running becomes true when the loop starts, and stays true.
	running atomic.Bool
}

func newPublished(id raft.ReplicaID, monotonic monotonicClock, metrics *metrics) *published {
	p := &published{id: id, monotonic: monotonic, metrics: metrics}
	p.status.Store(&raft.Status{ID: id})
	p.leadership.Store(&leadershipView{})
	return p
}

// update publishes the state of the node and returns the previous status. The status is
// stored before the leadership view, because a goroutine that sees the lease of a term
// must also see the commit index with which the term began.
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

// leadsInTerm reports whether this replica leads in the term given by token, with
// or without the lease.
func (p *published) leadsInTerm(token uint64) bool {
	view := p.leadership.Load()
	return view.leader && view.term == token
}

// holdsLease reports whether this replica leads in the term given by token and holds the
// lease. It compares the end of the lease with the time of the call, so that the answer
// is correct even if the process was frozen.
func (p *published) holdsLease(token uint64) bool {
	view := p.leadership.Load()
	return view.leader && view.term == token && p.monotonic.now() < view.leaseUntil
}

// holdsAnyLease reports whether this replica leads and holds the lease, in any term.
func (p *published) holdsAnyLease() bool {
	view := p.leadership.Load()
	return view.leader && p.holdsLease(view.term)
}

// leader returns the current leader; false if none is known.
func (p *published) leader() (raft.Member, bool) {
	status := p.status.Load()
	return findMember(status.Membership, status.Leader)
}

// notLeaderError returns the error that rejects a call which only the leader answers. It
// carries the leader's address if another replica is known to lead.
func (p *published) notLeaderError() *rpc.Error {
	rejection := &rpc.Error{Code: rpc.CodeNotLeader, Message: "this replica does not lead"}
	if leader, known := p.leader(); known && leader.ID != p.id {
		rejection.LeaderAddress = leader.Address
	}
	return rejection
}

// roleDiffers reports whether term, role, leader or readiness of the term differ.
func roleDiffers(a, b *raft.Status) bool {
	return a.Term != b.Term || a.Role != b.Role || a.Leader != b.Leader || a.TermReady != b.TermReady
}

// checkReceiver returns an error if a request is addressed to another replica, such as one
// that previously ran at this address.
func (p *published) checkReceiver(id raft.ReplicaID) error {
	if id == p.id {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeBadRequest, Message: fmt.Sprintf("this is replica %s, not %s", p.id, id)}
}
