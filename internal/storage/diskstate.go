package storage

import (
	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/raft"
)

// diskState is kept beside the log, in the same transactions. bbolt's pages
// carry no checksum, so that a wrong count in one could hide keys; the state is
// therefore always there, and says where the log must end.
type diskState struct {
	HardState raft.HardState `cbor:"1,keyasint"`
	// SnapshotIndex and SnapshotTerm name the snapshot that must be there, or
	// a newer one; zero if none was taken.
	SnapshotIndex uint64 `cbor:"2,keyasint"`
	SnapshotTerm  uint64 `cbor:"3,keyasint"`
	// LastIndex is the last entry, or the snapshot's if there is none after.
	LastIndex uint64 `cbor:"4,keyasint"`
}

func (s *diskState) setSnapshot(meta raft.SnapshotMeta) {
	s.SnapshotIndex, s.SnapshotTerm = meta.Index, meta.Term
	s.LastIndex = max(s.LastIndex, meta.Index)
}

func putState(tx *bbolt.Tx, state diskState) error {
	sealed, err := sealValue(stateKey, state)
	if err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(stateKey, sealed)
}

func readState(file string, tx *bbolt.Tx) (state diskState, err error) {
	err = unsealValue(file, stateKey, tx.Bucket(metaBucket).Get(stateKey), &state)
	return state, err
}

// update runs one transaction that ends with writing the state as change left
// it. Nothing of it stays, in memory either, if it fails.
func (d *Disk) update(change func(*bbolt.Tx, *diskState) error) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.updateLocked(change)
}

func (d *Disk) updateLocked(change func(*bbolt.Tx, *diskState) error) error {
	state := d.state
	err := d.db.Update(func(tx *bbolt.Tx) error {
		if err := change(tx, &state); err != nil {
			return err
		}
		return putState(tx, state)
	})
	if err != nil {
		return err
	}
	d.state = state
	d.unsaved, d.empty = false, false
	return nil
}
