package replica

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// restore loads the store, restores the record from the snapshot, and returns the state
// from which the raft node starts.
func (r *Replica) restore() (raft.RestoredState, error) {
	loaded, err := r.config.Store.Load()
	if err != nil {
		return raft.RestoredState{}, fmt.Errorf("load store: %w", err)
	}
	if loaded.SnapshotData != nil {
		if err := r.config.Record.Restore(bytes.NewReader(loaded.SnapshotData)); err != nil {
			return raft.RestoredState{}, fmt.Errorf("%w: restore record: %w", storage.ErrCorrupt, err)
		}
	}
	r.published.applied.advance(loaded.Snapshot.Index)
	if loaded.Snapshot.Index == bootstrapIndex {
		r.identity.bootstrap.end(&loaded.Snapshot.Membership)
	}
	membership, err := newestMembership(loaded)
	if err != nil {
		return raft.RestoredState{}, fmt.Errorf("%w: %w", storage.ErrCorrupt, err)
	}
	return raft.RestoredState{
		HardState:  loaded.HardState,
		Snapshot:   loaded.Snapshot,
		Entries:    loaded.Entries,
		Membership: membership,
		Applied:    loaded.Snapshot.Index,
	}, nil
}

// newestMembership returns the membership in force: the newest one in the log, committed
// or not, or that of the snapshot if the log has none.
func newestMembership(loaded storage.LoadedState) (raft.Membership, error) {
	for _, entry := range slices.Backward(loaded.Entries) {
		if entry.Kind == raft.EntryMembership && entry.Index > loaded.Snapshot.Index {
			return raft.DecodeMembership(entry.Data)
		}
	}
	return loaded.Snapshot.Membership, nil
}

// newNode creates the raft node. Unless the store was empty at process start, the replica
// may have promised a leader not to vote for another replica, and the promise is not
// persisted. The node therefore votes only once ElectionTimeoutMin has passed.
func (r *Replica) newNode(restored raft.RestoredState, storeWasEmpty bool) (*raft.Node, error) {
	timing := r.config.Timing
	noVoteBefore := r.published.monotonic.now() + timing.ElectionTimeoutMin
	if storeWasEmpty {
		noVoteBefore = 0
	}
	node, err := raft.New(raft.Config{
		ID:                 r.self.id,
		TickInterval:       timing.Tick,
		ElectionTimeoutMin: timing.ElectionTimeoutMin,
		ElectionTimeoutMax: timing.ElectionTimeoutMax,
		LeaseDuration:      timing.Lease,
		Seed:               r.published.monotonic.startedAt.UnixNano(),
		NoVoteBefore:       noVoteBefore,
	}, restored)
	if err != nil {
		return nil, fmt.Errorf("start node: %w", err)
	}
	return node, nil
}
