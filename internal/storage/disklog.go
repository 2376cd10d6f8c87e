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

// maxRetainedSegments bounds what is retained behind a snapshot for followers
// that lag, in segments of the usual length.
const maxRetainedSegments = 3

// diskLog is the part of a data directory that raft needs: the write-ahead log
// and the snapshot. Its methods may be called concurrently. snapshotMutex is
// locked before mutex, and alone while a snapshot is written, which takes long:
// entries are saved meanwhile.
type diskLog struct {
	config wal.Config
	// archiveTransaction returns the newest durable transaction of the archive.
	archiveTransaction func() uint64

	// snapshotMutex is locked while the snapshot file is replaced.
	snapshotMutex sync.Mutex

	mutex sync.Mutex // guards the fields below
	wal   *wal.Log
	empty bool
	// hardState is the newest one; the files may lack its commit index.
	hardState raft.HardState
	// replayedEntries are those found at the start. They are valid until the
	// first change, and for one Load.
	replayedEntries []raft.Entry
	replayValid     bool
}

// openDiskLog opens the log in a directory that holds one.
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

// removeUnfinishedSnapshot removes a snapshot whose writing was interrupted, and
// reports whether there is a complete one.
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

// Save implements Store: one write and one sync, unless a segment is full. A
// change of the commit index alone, without sync, is kept in memory for the next
// batch: a restart learns it again. A new term or vote is always synced.
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
		voted := d.hardState.Term != written.Term || d.hardState.VotedFor != written.VotedFor
		sync = sync || voted
		if sync || len(entries) > 0 {
			newest := d.hardState
			batch.HardState = &newest
		}
	}
	return d.append(batch, sync, "save log")
}

// append writes a batch; mutex is locked. operation names it in an error.
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

// SaveSnapshot implements Store. The snapshot file is durable before the log
// says so, and that before a segment is removed. A snapshot that is not newer
// than the present one is ignored.
func (d *diskLog) SaveSnapshot(meta raft.SnapshotMeta, retainEntries uint64, write func(io.Writer) error) error {
	d.snapshotMutex.Lock()
	defer d.snapshotMutex.Unlock()
	if stale, err := d.hasNewerSnapshot(meta); stale || err != nil {
		return err
	}
	// Read before the snapshot is written: all jobs that it leaves out are in the
	// archive by now.
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

// appendSnapshotRecord makes the record durable and then removes the segments
// that it makes obsolete; mutex is locked.
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

// hasNewerSnapshot reports whether one from the leader was installed while this
// one was prepared.
func (d *diskLog) hasNewerSnapshot(meta raft.SnapshotMeta) (bool, error) {
	file, current, _, err := openSnapshotFile(d.config.Files, d.config.Directory)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return current.Index >= meta.Index, file.Close()
}

// InstallSnapshot implements Store. If it is interrupted after the file got
// its name, Load finds the log behind the snapshot and drops it.
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
	return d.appendSnapshotRecord(d.dropLogRecord(meta, archiveTransaction))
}

// dropLogRecord returns the record after which the snapshot stands alone. The
// newest segment stays, since it holds the record.
func (d *diskLog) dropLogRecord(meta raft.SnapshotMeta, archiveTransaction uint64) wal.SnapshotRecord {
	return wal.SnapshotRecord{
		Index:              meta.Index,
		Term:               meta.Term,
		FirstIndex:         meta.Index + 1,
		FirstSegment:       d.wal.NewestSegment(),
		DropLog:            true,
		ArchiveTransaction: archiveTransaction,
	}
}

// OpenSnapshot implements Store. The data stay readable when a newer snapshot
// takes the file's place.
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

type snapshotReader struct {
	io.Reader
	io.Closer
}

// close writes the commit index that is only in memory, and closes the log.
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
