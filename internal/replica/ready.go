package replica

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// processReady processes all Readys of the node and starts the work that depends on them:
// a leadership transfer from a slow disk, Lead, and a snapshot. When the replica stops,
// remaining Readys are left unprocessed, as after a crash, because each save may take long.
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

// drainReady processes Readys until the node has none. It publishes the status before the
// messages of a Ready are sent, so that a claim that no longer holds, such as the lease, is
// withdrawn before another replica can act on those messages.
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

// handleReady performs the steps of one Ready in the order that raft requires. Early
// messages are a leader's appends, which may precede the save because a leader counts
// itself towards the quorum only once its entries are saved. All other messages are sent
// after the save, because they assert what is saved. Then committed entries are applied and
// reads receive their index; the reader waits until that index is applied.
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

// apply applies committed entries. It completes a proposal only after its entry is applied
// and published.applied covers it, so that a caller with the result can read its effect.
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

// transferFromSlowDisk starts a leadership transfer if this replica leads and its disk is
// slow. It reports whether it did, in which case the node may have a Ready.
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

// publish makes the status of the node visible to the other goroutines, and reacts to
// changes of term, role, leader, readiness and membership.
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

// handleRoleChange reacts to a change of term, role, leader or readiness of the term.
func (l *loop) handleRoleChange(before, after *raft.Status) {
	leads := after.Role == raft.RoleLeader
	if l.term.leading && (!leads || after.Term != l.term.term) {
		l.logger.Info("lost leadership", "term", l.term.term, "leader", string(after.Leader))
		l.endTerm()
	}
	if leads && !l.term.leading {
		l.logger.Info("became leader", "term", after.Term, "last_index", after.LastIndex)
		l.term.begin(after.Term)
		l.clock.observeLocal(l.now())
	}
	if !leads && after.Leader != "" && after.Leader != before.Leader {
		l.logger.Info("following leader", "term", after.Term, "leader", string(after.Leader))
	}
	if after.TermReady && l.term.readyIndex == 0 {
		l.term.readyIndex = after.Commit
	}
}

// endTerm cancels Lead and fails the proposals and reads that wait for this replica's term
// as leader. Proposals fail with ErrOutcomeUnknown, because another leader may still commit
// them; reads fail with ErrNotLeader and have to ask the new leader.
func (l *loop) endTerm() {
	l.appender.pending.fail(ErrOutcomeUnknown)
	l.reads.fail(ErrNotLeader)
	l.term.end(l.now())
}

// startLeadIfReady starts Lead once the record reflects all earlier terms, the lease is
// held, and the Lead of the earlier term has returned. Before that it restarts the cluster
// clock from the newest time in the record.
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

// handleMembershipChange updates the peers of the transport and the voters of the cluster
// clock.
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
