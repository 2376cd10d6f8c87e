package replica

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// processReady processes what the node has ready, and what follows from it, until nothing
// is left. When the replica stops it leaves the rest, as a crash would: each save may take
// long.
func (l *loop) processReady() error {
	if err := l.drainReady(); err != nil {
		return err
	}
	if l.transferFromSlowDisk() {
		if err := l.drainReady(); err != nil {
			return err
		}
	}
	l.startLeadIfReady()
	l.startSnapshotIfDue()
	return nil
}

// drainReady publishes the status before the messages of a Ready go out: what others
// must no longer believe of this replica is withdrawn before another can act on it.
func (l *loop) drainReady() error {
	l.publish(l.node.Status())
	for l.node.HasReady() {
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
		if err := l.handleReady(l.node.Ready()); err != nil {
			return err
		}
		l.publish(l.node.Status())
	}
	return nil
}

// handleReady takes the steps of one Ready, in the order that raft requires. Early
// messages are appends of a leader, which counts itself only once its entries are saved.
// All other messages only follow the save, as they vouch for what is saved. Committed
// entries are applied after that, and reads get their index, which the reader waits for.
func (l *loop) handleReady(ready raft.Ready) error {
	l.send(ready.EarlyMessages)
	if ready.HardState != nil || len(ready.Entries) > 0 {
		if err := l.saver.save(ready); err != nil {
			return err
		}
	}
	l.send(ready.Messages)
	if err := l.apply(ready.Committed); err != nil {
		return err
	}
	l.reads.complete(ready.ReadStates)
	l.node.Advance(ready)
	return nil
}

func (l *loop) send(messages []raft.Message) {
	for _, message := range messages {
		if message.Kind == raft.MessageSnapshot {
			l.startSnapshotTransfer(message.To)
		}
		l.transport.Send(message)
	}
}

// apply applies committed entries, and answers a proposal only after its entry is
// visible: who got the answer reads its effect.
func (l *loop) apply(committed []raft.Entry) error {
	for _, entry := range committed {
		result, err := applyEntry(l.record, l.logger, entry)
		if err != nil {
			return fmt.Errorf("apply entry %d of term %d: %w", entry.Index, entry.Term, err)
		}
		l.snapshots.writer.history.recordApplied(entry)
		l.published.applied.advance(entry.Index)
		l.appender.pending.complete(entry, result)
	}
	return nil
}

// transferFromSlowDisk transfers leadership if the disk is slow. It reports whether
// there is something to send.
func (l *loop) transferFromSlowDisk() bool {
	now := l.now()
	if !l.saver.slowDisk.takeTransfer(now, l.term.leading) {
		return false
	}
	if err := l.node.TransferLeadership(now, ""); err != nil {
		l.logger.Warn("leadership not transferred from a slow disk", "error", err)
		return false
	}
	return true
}

// publish shows the status of the node to the other goroutines, and follows changes of
// term, role and membership.
func (l *loop) publish(status raft.Status) {
	before := l.published.update(status)
	current := l.published.status.Load()
	if roleDiffers(before, current) {
		l.handleRoleChange(before, current)
		l.published.roleChanges.advance(l.published.roleChanges.load() + 1)
	}
	if !sameMembership(before.Membership, current.Membership) {
		l.handleMembershipChange(current.Membership)
	}
}

// handleRoleChange is called when term, role, leader or readiness changed.
func (l *loop) handleRoleChange(before, after *raft.Status) {
	leads := after.Role == raft.RoleLeader
	if l.term.leading && (!leads || after.Term != l.term.term) {
		l.logger.Info("lost leadership", "term", l.term.term, "leader", string(after.Leader))
		l.endTerm()
	}
	if leads && !l.term.leading {
		l.logger.Info("became leader", "term", after.Term, "last_index", after.LastIndex)
		l.term.begin(after.Term)
		l.clock.observeOwn(l.now())
	}
	if !leads && after.Leader != "" && after.Leader != before.Leader {
		l.logger.Info("following leader", "term", after.Term, "leader", string(after.Leader))
	}
	if after.TermReady && l.term.readyIndex == 0 {
		l.term.readyIndex = after.Commit
	}
}

// endTerm ends what waits for the term as leader: pending proposals may yet be
// committed by another leader, reads have to find that one.
func (l *loop) endTerm() {
	l.appender.pending.fail(ErrOutcomeUnknown)
	l.reads.fail(ErrNotLeader)
	l.term.end(l.now())
}

// startLeadIfReady calls Lead once the record reflects all earlier terms, the lease is
// held, and the Lead of the earlier term has returned.
func (l *loop) startLeadIfReady() {
	if !l.term.previousLeadReturned(l.now()) {
		return
	}
	if !l.term.canStart(l.published.applied.load()) || !l.published.holdsLease(l.term.term) {
		return
	}
	var floor record.Millis
	l.record.Read(func(view record.View) { floor = view.Clock() })
	l.clock.restart(floor, l.now())
	l.term.start(l.ctx)
}

// handleMembershipChange lets transport and cluster clock follow the membership.
func (l *loop) handleMembershipChange(membership raft.Membership) {
	l.transport.SetMembers(membership)
	var voters []raft.ReplicaID
	for _, member := range slices.Concat(membership.Voters, membership.Outgoing) {
		if !slices.Contains(voters, member.ID) {
			voters = append(voters, member.ID)
		}
	}
	l.clock.setVoters(voters)
}
