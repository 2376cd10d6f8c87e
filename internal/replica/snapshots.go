package replica

import (
	"fmt"

	"github.com/decklever/decklever/internal/raft"
)

// loopSnapshots writes and sends snapshots for the loop, to which it belongs.
type loopSnapshots struct {
	writer     snapshotWriter
	sender     snapshotSender
	background *backgroundTasks
}

func (r *Replica) newLoopSnapshots(newest raft.SnapshotMeta) loopSnapshots {
	config := r.config
	return loopSnapshots{
		writer: snapshotWriter{
			policy:  snapshotPolicy{everyEntries: config.SnapshotEvery, everyBytes: config.SnapshotBytes, retainedEntries: config.RetainedEntries},
			record:  config.Record,
			store:   config.Store,
			logger:  config.Logger,
			history: newAppliedHistory(newest),
		},
		sender: snapshotSender{
			self:       r.self,
			store:      config.Store,
			client:     config.Client,
			inProgress: make(map[raft.ReplicaID]bool),
		},
		background: r.background,
	}
}

// startSnapshotIfDue captures the record if a snapshot is due, and writes the snapshot in
// the background. Once it is written, the loop compacts the node's log.
func (l *loop) startSnapshotIfDue() {
	applied := l.published.applied.load()
	if !l.snapshots.writer.due(applied) {
		return
	}
	captured, ok := l.snapshots.writer.begin(applied)
	if !ok {
		return
	}
	l.snapshots.background.run(func() {
		err := l.snapshots.writer.write(captured)
		_ = l.mailbox.runOnLoop(l.ctx, func(l *loop) error {
			if compactTo, ok := l.snapshots.writer.end(captured.meta, err); ok {
				l.node.Compact(compactTo)
			}
			return nil
		})
	})
}

// startSnapshotTransfer sends the newest snapshot to a replica in the background, unless
// the replica is not a member or a transfer to it is in progress. The outcome is reported
// to the node.
func (l *loop) startSnapshotTransfer(to raft.ReplicaID) {
	status := l.node.Status()
	member, known := findMember(status.Membership, to)
	if !known || !l.snapshots.sender.begin(to) {
		return
	}
	l.snapshots.background.run(func() {
		index, err := l.snapshots.sender.send(l.ctx, member, status.Term)
		if err != nil && l.ctx.Err() == nil {
			l.logger.Warn("snapshot not sent", "to", string(to), "error", err)
		}
		_ = l.mailbox.runOnLoop(l.ctx, func(l *loop) error {
			l.snapshots.sender.end(to)
			l.node.ReportSnapshot(l.now(), to, index, err == nil)
			return nil
		})
	})
}

// installSnapshot replaces record, store and log with a snapshot of the leader; the caller
// has copied the archive up to the snapshot. Any pending Ready of the node is processed
// first. The record verifies the checksum before it changes. A failure after that point
// leaves record and store inconsistent, and ends the loop.
func (l *loop) installSnapshot(received receivedSnapshot) error {
	if err := l.processReady(); err != nil {
		l.fail(err)
		return err
	}
	meta := received.meta
	if !l.node.ShouldInstallSnapshot(meta) {
		return errSnapshotStale
	}
	if err := l.record.Restore(received.reader()); err != nil {
		return fmt.Errorf("restore record: %w", err)
	}
	if err := l.saver.store.InstallSnapshot(meta, received.reader()); err != nil {
		err = fmt.Errorf("install snapshot: %w", err)
		l.fail(err)
		return err
	}
	l.node.SnapshotInstalled(l.now(), meta)
	l.snapshots.writer.reset(meta)
	l.published.applied.advance(meta.Index)
	l.logger.Info("snapshot installed", "index", meta.Index, "term", meta.Term, "bytes", len(received.data))
	return nil
}
