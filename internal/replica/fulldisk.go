package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// fullDiskRetryInterval is the pause before a full disk is tried again.
const fullDiskRetryInterval = 100 * time.Millisecond

// save persists what a Ready brings. While the disk has no room it waits: the replica
// then answers no other, so that it neither votes nor counts for a commit, and as a
// leader loses its lease and the lead. It goes on once there is room, as after a sync
// that took as long.
func (l *loop) save(ready raft.Ready) error {
	began := time.Now()
	err := l.trySave(ready, began)
	if !errors.Is(err, storage.ErrNoSpace) {
		return err
	}
	l.logger.Error("no room on the disk, this replica takes no part until there is", "error", err)
	l.metrics.diskFull.Set(1)
	defer l.metrics.diskFull.Set(0)
	for errors.Is(err, storage.ErrNoSpace) {
		if stopped := l.discardInput(fullDiskRetryInterval); stopped != nil {
			return stopped
		}
		err = l.trySave(ready, began)
	}
	if err == nil {
		l.logger.Info("room on the disk again", "after", time.Since(began))
	}
	return err
}

func (l *loop) trySave(ready raft.Ready, began time.Time) error {
	if err := l.config.Store.Save(ready.HardState, ready.Entries, ready.MustSync); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	if ready.MustSync {
		l.observeSave(time.Since(began))
	}
	return nil
}

// discardInput lets time pass in which messages are lost and proposals refused. Calls wait:
// they may need the node, which is in the middle of a Ready.
func (l *loop) discardInput(length time.Duration) error {
	over := time.NewTimer(length)
	defer over.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case <-l.inbox:
		case p := <-l.proposals:
			p.reject(ErrNotLeader)
		case <-over.C:
			return nil
		}
	}
}
