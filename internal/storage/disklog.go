package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"sync"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/wal"
)

// maxRetainedSegments bounds the log that is retained after a snapshot for lagging
// followers, in multiples of the configured segment size.
const maxRetainedSegments = 3

// diskLog is the part of a data directory that raft needs: the write-ahead log
// and the snapshot. Its methods may be called concurrently. Lock order:
// snapshotMutex before mutex. Only snapshotMutex is held while a snapshot file is
// written, which takes long, so that entries can be saved at the same time.
type diskLog struct {
	config wal.Config
	// archiveTransaction returns the id of the newest durable transaction of the
	// archive.
	archiveTransaction func() uint64

	// snapshotMutex is held while the snapshot file is replaced.
	snapshotMutex sync.Mutex

	mutex sync.Mutex // guards the fields below
	wal   *wal.Log
	empty bool // nothing was ever saved
	// hardState is the newest hard state. Its commit index may not have been
	// written to the log yet.
	hardState raft.HardState
	// replayedEntries are the entries read when the log was opened. replayValid is
	// true until the log changes or Load has returned them.
	replayedEntries []raft.Entry
	replayValid     bool
}

// openDiskLog opens the log of an initialized directory.
func openDiskLog(config wal.Config) (*diskLog, error) {
	log, entries, err := wal.Open(config)
	if err != nil {
		return nil, err
	}
	state := log.State()
	d := &diskLog{config: config, wal: log, replayedEntries: entries, replayValid: true}
	d.archiveTransaction = func() uint64 { return log.State().ArchiveTransaction }
	d.hardState = state.HardState
	hasSnapshot, err := d.removeUnfinishedSnapshot()
	if err != nil {
		_ = log.Abandon()
		return nil, err
	}
	d.empty = state == wal.State{FirstSegment: wal.FirstSegment} && !hasSnapshot
	return d, nil
}

// removeUnfinishedSnapshot removes the temporary file of an interrupted snapshot,
// and reports whether there is a complete snapshot.
func (d *diskLog) removeUnfinishedSnapshot() (hasSnapshot bool, err error) {
	names, err := d.config.Files.Names(d.config.Directory)
	if err != nil {
		return false, fmt.Errorf("list data folder: %w", err)
	}
	for _, name := range names {
		switch name {
		case snapshotFile:
			hasSnapshot = true
		case snapshotFile + temporarySuffix:
			if err := d.config.Files.Remove(filepath.Join(d.config.Directory, name)); err != nil {
				return false, fmt.Errorf("remove unfinished snapshot: %w", err)
			}
		}
	}
	return hasSnapshot, nil
}

// ReplicaID implements Store.
func (d *diskLog) ReplicaID() raft.ReplicaID { return d.wal.ReplicaID() }

// Empty implements Store.
func (d *diskLog) Empty() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.empty
}

// Save implements Store with one write and at most one sync, unless the batch
// needs a new segment. If only the commit index changed and sync is false, the
// index stays in memory until the next batch, since a replica learns it again
// after a restart. A new term or vote is always synced.
func (d *diskLog) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := checkConsecutive(entries); err != nil {
		return fmt.Errorf("save log: %w", err)
	}
	if hardState != nil {
		d.hardState = *hardState
	}
	batch := wal.Batch{Entries: entries}
	if written := d.wal.State().HardState; d.hardState != written {
		termOrVoteChanged := d.hardState.Term != written.Term || d.hardState.VotedFor != written.VotedFor
		sync = sync || termOrVoteChanged
		if sync || len(entries) > 0 {
			newest := d.hardState
			batch.HardState = &newest
		}
	}
	return d.append(batch, sync, "save log")
}

// append appends a batch to the log. operation is the prefix of its error. The
// caller holds mutex.
func (d *diskLog) append(batch wal.Batch, sync bool, operation string) error {
	if !batch.Empty() {
		d.empty, d.replayValid, d.replayedEntries = false, false, nil
	}
	if err := d.wal.Append(batch, sync); err != nil {
		return fmt.Errorf("%s: %w", operation, err)
	}
	return nil
}

func checkConsecutive(entries []raft.Entry) error {
	for i, entry := range entries {
		if entry.Index != entries[0].Index+uint64(i) {
			return fmt.Errorf("entry %d does not follow %d", entry.Index, entries[0].Index+uint64(i)-1)
		}
	}
	return nil
}

// SaveSnapshot implements Store. The snapshot file is durable before the snapshot
// record is appended to the log, and the record is durable before a segment is
// removed. A snapshot that is not newer than the stored one is ignored.
func (d *diskLog) SaveSnapshot(meta raft.SnapshotMeta, retainEntries uint64, write func(io.Writer) error) error {
	d.snapshotMutex.Lock()
	defer d.snapshotMutex.Unlock()
	if stale, err := d.hasSameOrNewerSnapshot(meta); stale || err != nil {
		return err
	}
	// The transaction is read before the snapshot is written: the caller has
	// synced to the archive all jobs that the snapshot leaves out.
	archiveTransaction := d.archiveTransaction()
	if err := writeSnapshotFile(d.config.Files, d.config.Directory, meta, write); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	compactIndex := meta.Index - min(meta.Index, retainEntries)
	oldestSegment, bytes := d.wal.OldestNeeded(compactIndex)
	if bytes > maxRetainedSegments*d.wal.SegmentSize() {
		compactIndex = meta.Index
		oldestSegment, _ = d.wal.OldestNeeded(compactIndex)
	}
	return d.appendSnapshotRecord(wal.SnapshotRecord{
		Index:              meta.Index,
		Term:               meta.Term,
		FirstIndex:         max(compactIndex+1, d.wal.State().FirstIndex),
		FirstSegment:       oldestSegment,
		ArchiveTransaction: archiveTransaction,
	})
}

// appendSnapshotRecord appends and syncs the record, and then removes the segments
// that are obsolete because of it. The caller holds mutex.
func (d *diskLog) appendSnapshotRecord(snapshot wal.SnapshotRecord) error {
	batch, err := wal.NewSnapshotBatch(snapshot)
	if err != nil {
		return fmt.Errorf("record snapshot: %w", err)
	}
	if err := d.append(batch, true, "record snapshot"); err != nil {
		return err
	}
	return d.wal.RemoveBefore(snapshot.FirstSegment)
}

// hasSameOrNewerSnapshot reports whether the stored snapshot has at least the index
// of meta. This happens if a snapshot from the leader is installed while the
// replica prepares its own.
func (d *diskLog) hasSameOrNewerSnapshot(meta raft.SnapshotMeta) (bool, error) {
	file, current, _, err := openSnapshotFile(d.config.Files, d.config.Directory)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return current.Index >= meta.Index, file.Close()
}

// InstallSnapshot implements Store. If it is interrupted after the snapshot file
// was renamed, Load finds a snapshot that is newer than the log's last snapshot
// record, and completes the installation.
func (d *diskLog) InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error {
	d.snapshotMutex.Lock()
	defer d.snapshotMutex.Unlock()
	copyData := func(writer io.Writer) error {
		_, err := io.Copy(writer, data)
		return err
	}
	archiveTransaction := d.archiveTransaction()
	if err := writeSnapshotFile(d.config.Files, d.config.Directory, meta, copyData); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.appendSnapshotRecord(d.newDropLogRecord(meta, archiveTransaction))
}

// newDropLogRecord returns the snapshot record that drops all log entries. The
// newest segment is retained, since the record itself is appended to it.
func (d *diskLog) newDropLogRecord(meta raft.SnapshotMeta, archiveTransaction uint64) wal.SnapshotRecord {
	return wal.SnapshotRecord{
		Index:              meta.Index,
		Term:               meta.Term,
		FirstIndex:         meta.Index + 1,
		FirstSegment:       d.wal.NewestSegment(),
		DropLog:            true,
		ArchiveTransaction: archiveTransaction,
	}
}

// OpenSnapshot implements Store. The data can still be read after a newer snapshot
// has replaced the file.
func (d *diskLog) OpenSnapshot() (raft.SnapshotMeta, io.ReadCloser, bool, error) {
	file, meta, data, err := openSnapshotFile(d.config.Files, d.config.Directory)
	if errors.Is(err, fs.ErrNotExist) {
		return raft.SnapshotMeta{}, nil, false, nil
	}
	if err != nil {
		return raft.SnapshotMeta{}, nil, false, err
	}
	return meta, snapshotReader{Reader: data, Closer: file}, true, nil
}

// snapshotReader reads the data section of a snapshot file and closes the file.
type snapshotReader struct {
	io.Reader
	io.Closer
}

// close saves a commit index that is still only in memory, unless a write has
// failed, and closes the log.
func (d *diskLog) close() error {
	d.mutex.Lock()
	failed := d.wal.Failed()
	d.mutex.Unlock()
	var err error
	if !failed {
		err = d.Save(nil, nil, true)
	}
	return errors.Join(err, d.wal.Close())
}
