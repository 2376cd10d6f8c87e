package replica

import (
	"slices"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// leadershipView is what callers need to know at once and without a lock.
type leadershipView struct {
	leader bool
	term   uint64
	// leaseUntil is the monotonic end of the lease; zero before the term is ready.
	leaseUntil time.Duration
}

// HoldsLease implements Log. It compares the end of the lease with the time of
// the call, so that it is right after the process was frozen.
func (r *Replica) HoldsLease(token uint64) bool {
	view := r.leadership.Load()
	return view.leader && view.term == token && r.now() < view.leaseUntil
}

// Now implements Log.
func (r *Replica) Now() record.Millis {
	r.clockMutex.Lock()
	defer r.clockMutex.Unlock()
	return r.clock.Now(r.now())
}

func (r *Replica) observeClock(voter raft.ReplicaID, wall int64, at time.Duration) {
	r.clockMutex.Lock()
	defer r.clockMutex.Unlock()
	r.clock.Observe(voter, wall, at)
}

// restartClock goes on from the record's clock.
func (r *Replica) restartClock() {
	var floor record.Millis
	r.config.Record.Read(func(view record.View) { floor = view.Clock() })
	r.clockMutex.Lock()
	defer r.clockMutex.Unlock()
	r.clock.Restart(floor, r.now())
}

// publish shows the node's state to the other goroutines, and follows changes
// of term, role and membership.
func (l *loop) publish(status raft.Status) {
	view := leadershipView{leader: status.Role == raft.RoleLeader, term: status.Term}
	if status.TermReady {
		view.leaseUntil = status.LeaseUntil
	}
	// The status goes first: who sees the lease must see the term's commit.
	before := l.status.Swap(&status)
	if *l.leadership.Load() != view {
		l.leadership.Store(&view)
	}
	if roleDiffers(before, &status) {
		l.handleRoleChange(before, &status)
		l.roleChanges.advance(l.roleChanges.load() + 1)
	}
	if !sameMembership(before.Membership, status.Membership) {
		l.handleMembershipChange(status.Membership)
	}
	l.metrics.update(status)
}

func roleDiffers(a, b *raft.Status) bool {
	return a.Term != b.Term || a.Role != b.Role || a.Leader != b.Leader || a.TermReady != b.TermReady
}

func sameMembership(a, b raft.Membership) bool {
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Outgoing, b.Outgoing) && slices.Equal(a.Learners, b.Learners)
}

func (l *loop) handleMembershipChange(membership raft.Membership) {
	l.transport.setMembers(membership)
	var voters []raft.ReplicaID
	for _, member := range slices.Concat(membership.Voters, membership.Outgoing) {
		if !slices.Contains(voters, member.ID) {
			voters = append(voters, member.ID)
		}
	}
	l.clockMutex.Lock()
	defer l.clockMutex.Unlock()
	l.clock.SetVoters(voters)
}
