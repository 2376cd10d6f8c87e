package replica

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

// restore loads the store and puts the snapshot into the record.
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

// newestMembership returns the membership in force: the newest one in the log, whether
// committed or not, else that of the snapshot.
func newestMembership(loaded storage.LoadedState) (raft.Membership, error) {
	for _, entry := range slices.Backward(loaded.Entries) {
		if entry.Kind == raft.EntryMembership && entry.Index > loaded.Snapshot.Index {
			return raft.DecodeMembership(entry.Data)
		}
	}
	return loaded.Snapshot.Membership, nil
}

// newNode makes the raft node. Unless the store was empty at the start, it may have
// promised a leader not to vote, which it no longer knows; so it votes only once the
// shortest election timeout has passed.
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
