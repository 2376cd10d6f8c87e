package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/raft"
)

// entryHeaderSize is term and kind, before an entry's data.
const entryHeaderSize = 8 + 1

// appendFill packs the log's pages, since keys only grow.
const appendFill = 0.95

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// sealEntry lays out an entry as checksum, term, kind, data.
func sealEntry(key []byte, entry raft.Entry) []byte {
	value := make([]byte, checksumSize+entryHeaderSize+len(entry.Data))
	payload := value[checksumSize:]
	binary.BigEndian.PutUint64(payload, entry.Term)
	payload[8] = byte(entry.Kind)
	copy(payload[entryHeaderSize:], entry.Data)
	binary.BigEndian.PutUint32(value, checksum(key, payload))
	return value
}

func unsealEntry(file string, key, value []byte) (raft.Entry, error) {
	if len(key) != 8 {
		return raft.Entry{}, corrupt(file, "log key %x is not 8 bytes", key)
	}
	payload, err := unseal(file, key, value)
	if err != nil {
		return raft.Entry{}, err
	}
	if len(payload) < entryHeaderSize {
		return raft.Entry{}, corrupt(file, "entry %x is cut short", key)
	}
	entry := raft.Entry{
		Index: binary.BigEndian.Uint64(key),
		Term:  binary.BigEndian.Uint64(payload),
		Kind:  raft.EntryKind(payload[8]),
	}
	if len(payload) > entryHeaderSize {
		entry.Data = append([]byte(nil), payload[entryHeaderSize:]...)
	}
	return entry, nil
}

// Save implements Store: one bbolt transaction, synced. Without sync, a change
// of the commit index alone, which a restart learns again, is kept in memory
// for the next transaction.
func (d *Disk) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if hardState != nil && d.state.HardState != *hardState {
		old := d.state.HardState
		sync = sync || hardState.Term != old.Term || hardState.VotedFor != old.VotedFor
		d.state.HardState, d.unsaved = *hardState, true
	}
	if len(entries) == 0 && (!sync || !d.unsaved) {
		return nil
	}
	err := d.updateLocked(func(tx *bbolt.Tx, state *diskState) error {
		if len(entries) == 0 {
			return nil
		}
		state.LastIndex = entries[len(entries)-1].Index
		return replaceSuffix(tx.Bucket(logBucket), entries)
	})
	if err != nil {
		return fmt.Errorf("save log: %w", err)
	}
	return nil
}

// replaceSuffix writes entries in place of all from the first one's index on.
func replaceSuffix(bucket *bbolt.Bucket, entries []raft.Entry) error {
	bucket.FillPercent = appendFill
	if err := deleteFrom(bucket, entries[0].Index); err != nil {
		return err
	}
	for i, entry := range entries {
		if entry.Index != entries[0].Index+uint64(i) {
			return fmt.Errorf("entry %d does not follow %d", entry.Index, entries[0].Index+uint64(i)-1)
		}
		key := indexKey(entry.Index)
		if err := bucket.Put(key, sealEntry(key, entry)); err != nil {
			return err
		}
	}
	return nil
}

func deleteFrom(bucket *bbolt.Bucket, index uint64) error {
	for {
		last, _ := bucket.Cursor().Last()
		if last == nil || binary.BigEndian.Uint64(last) < index {
			return nil
		}
		if err := bucket.Delete(last); err != nil {
			return err
		}
	}
}

// SaveSnapshot implements Store. The snapshot file is durable before an entry
// is forgotten; one that is not newer than the present one is passed over.
// Entries are forgotten oldest first, in several transactions.
func (d *Disk) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	d.snapshots.Lock()
	defer d.snapshots.Unlock()
	if stale, err := d.hasNewerSnapshot(meta); stale || err != nil {
		return err
	}
	if err := writeSnapshotFile(d.directory, meta, write); err != nil {
		return err
	}
	err := d.update(func(_ *bbolt.Tx, state *diskState) error {
		state.setSnapshot(meta)
		return nil
	})
	if err != nil {
		return fmt.Errorf("note snapshot: %w", err)
	}
	if meta.Index <= keepEntries {
		return nil
	}
	return d.deleteUpTo(meta.Index - keepEntries)
}

// hasNewerSnapshot: one from the leader was installed while this was prepared.
func (d *Disk) hasNewerSnapshot(meta raft.SnapshotMeta) (bool, error) {
	file, held, _, err := openSnapshotFile(d.directory)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return held.Index >= meta.Index, file.Close()
}

func (d *Disk) deleteUpTo(index uint64) error {
	for more := true; more; {
		err := d.update(func(tx *bbolt.Tx, _ *diskState) error {
			var err error
			more, err = deleteOldest(tx.Bucket(logBucket), index, deleteBatch)
			return err
		})
		if err != nil {
			return fmt.Errorf("forget entries: %w", err)
		}
	}
	return nil
}

// deleteOldest deletes at most limit entries up to index; more tells whether
// others are left.
func deleteOldest(bucket *bbolt.Bucket, index uint64, limit int) (more bool, err error) {
	keys := make([][]byte, 0, limit)
	cursor := bucket.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.Next() {
		if len(keys) == limit {
			more = true
			break
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return false, err
		}
	}
	return more, nil
}

// InstallSnapshot implements Store. If it is interrupted after the file got
// its name, Load finds the log behind the snapshot and drops it.
func (d *Disk) InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error {
	d.snapshots.Lock()
	defer d.snapshots.Unlock()
	copyData := func(writer io.Writer) error {
		_, err := io.Copy(writer, data)
		return err
	}
	if err := writeSnapshotFile(d.directory, meta, copyData); err != nil {
		return err
	}
	drop := func(tx *bbolt.Tx, state *diskState) error { return dropLog(tx, state, meta) }
	if err := d.update(drop); err != nil {
		return fmt.Errorf("drop log: %w", err)
	}
	return nil
}

// dropLog leaves the snapshot alone.
func dropLog(tx *bbolt.Tx, state *diskState, meta raft.SnapshotMeta) error {
	if err := tx.DeleteBucket(logBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return err
	}
	state.LastIndex = meta.Index
	state.setSnapshot(meta)
	return nil
}
