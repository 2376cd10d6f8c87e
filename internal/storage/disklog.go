package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"path/filepath"
	"sync"

	"github.com/decklever/decklever/internal/raft"
)

// maxRetainedSegments bounds what is kept behind a snapshot for followers that lag,
// in segments of the usual length.
const maxRetainedSegments = 3

// diskLog is the part of a data folder that raft needs: the write-ahead log
// and the snapshot. Its methods may be called from several goroutines.
type diskLog struct {
	files     fileSystem
	directory string
	logger    *slog.Logger
	// archiveTransaction is the newest durable transaction of the archive.
	archiveTransaction func() uint64

	// snapshotMutex is held while the snapshot file is replaced.
	snapshotMutex sync.Mutex

	mutex sync.Mutex // guards the fields below
	wal   *writeAheadLog
	empty bool
	// hardState is the newest one; the files may lack its commit index.
	hardState raft.HardState
	// replayedEntries are the entries found at the start, until the first change.
	replayedEntries []raft.Entry
	replayValid     bool
}

// openDiskLog opens the log in a folder that holds one.
func openDiskLog(files fileSystem, directory string, logger *slog.Logger, segmentSize int64, numbers []uint64) (*diskLog, error) {
	wal, entries, err := openLog(files, directory, logger, segmentSize, numbers)
	if err != nil {
		return nil, err
	}
	d := &diskLog{files: files, directory: directory, logger: logger, wal: wal, replayedEntries: entries, replayValid: true}
	d.archiveTransaction = func() uint64 { return wal.state.ArchiveTransaction }
	d.hardState = wal.state.HardState
	found, err := d.removeUnfinishedSnapshot()
	if err != nil {
		_ = wal.file.Close()
		return nil, err
	}
	d.empty = wal.state == walState{FirstSegment: firstSegment} && !found
	return d, nil
}

// removeUnfinishedSnapshot removes one whose writing was interrupted, and tells whether
// there is a whole one.
func (d *diskLog) removeUnfinishedSnapshot() (found bool, err error) {
	names, err := d.files.Names(d.directory)
	if err != nil {
		return false, fmt.Errorf("list data folder: %w", err)
	}
	for _, name := range names {
		switch name {
		case snapshotFile:
			found = true
		case snapshotFile + temporarySuffix:
			if err := d.files.Remove(filepath.Join(d.directory, name)); err != nil {
				return false, fmt.Errorf("remove unfinished snapshot: %w", err)
			}
		}
	}
	return found, nil
}

// ReplicaID implements Store.
func (d *diskLog) ReplicaID() raft.ReplicaID { return d.wal.id }

// Empty implements Store.
func (d *diskLog) Empty() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.empty
}

// Save implements Store: one write and one sync, unless a segment is full.
// Without sync, a change of the commit index alone, which a restart learns
// again, is kept in memory for the next batch.
func (d *diskLog) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := checkConsecutive(entries); err != nil {
		return fmt.Errorf("save log: %w", err)
	}
	if hardState != nil {
		d.hardState = *hardState
	}
	batch := walBatch{entries: entries}
	if held := d.wal.state.HardState; d.hardState != held {
		voted := d.hardState.Term != held.Term || d.hardState.VotedFor != held.VotedFor
		sync = sync || voted
		if sync || len(entries) > 0 {
			newest := d.hardState
			batch.hardState = &newest
		}
	}
	return d.append(batch, sync, "save log")
}

// append is called with the lock held.
func (d *diskLog) append(batch walBatch, sync bool, operation string) error {
	if batch.records() > 0 {
		d.empty, d.replayValid, d.replayedEntries = false, false, nil
	}
	if err := d.wal.append(batch, sync); err != nil {
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
// than the present one is passed over.
func (d *diskLog) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	d.snapshotMutex.Lock()
	defer d.snapshotMutex.Unlock()
	if stale, err := d.hasNewerSnapshot(meta); stale || err != nil {
		return err
	}
	archiveTransaction := d.archiveTransaction()
	if err := writeSnapshotFile(d.files, d.directory, meta, write); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	compactIndex := meta.Index - min(meta.Index, keepEntries)
	number, bytes := d.wal.oldestNeeded(compactIndex)
	if bytes > maxRetainedSegments*d.wal.segmentSize {
		compactIndex = meta.Index
		number, _ = d.wal.oldestNeeded(compactIndex)
	}
	snapshot := snapshotRecord{Index: meta.Index, Term: meta.Term, FirstSegment: number, ArchiveTransaction: archiveTransaction}
	snapshot.FirstIndex = max(compactIndex+1, d.wal.state.FirstIndex)
	return d.appendSnapshotRecord(snapshot)
}

// appendSnapshotRecord is called with the lock held.
func (d *diskLog) appendSnapshotRecord(snapshot snapshotRecord) error {
	batch, err := newSnapshotBatch(snapshot)
	if err != nil {
		return fmt.Errorf("note snapshot: %w", err)
	}
	if err := d.append(batch, true, "note snapshot"); err != nil {
		return err
	}
	return d.wal.removeBefore(snapshot.FirstSegment)
}

// hasNewerSnapshot: one from the leader was installed while this was prepared.
func (d *diskLog) hasNewerSnapshot(meta raft.SnapshotMeta) (bool, error) {
	file, held, _, err := openSnapshotFile(d.files, d.directory)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return held.Index >= meta.Index, file.Close()
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
	if err := writeSnapshotFile(d.files, d.directory, meta, copyData); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.appendSnapshotRecord(d.dropLogRecord(meta, archiveTransaction))
}

// dropLogRecord leaves the snapshot alone. The newest segment stays, since it holds
// the note.
func (d *diskLog) dropLogRecord(meta raft.SnapshotMeta, archiveTransaction uint64) snapshotRecord {
	return snapshotRecord{
		Index: meta.Index, Term: meta.Term, DropLog: true, ArchiveTransaction: archiveTransaction,
		FirstIndex: meta.Index + 1, FirstSegment: d.wal.newest().number,
	}
}

// OpenSnapshot implements Store. The data stay readable when a newer snapshot
// takes the file's place.
func (d *diskLog) OpenSnapshot() (raft.SnapshotMeta, io.ReadCloser, bool, error) {
	file, meta, data, err := openSnapshotFile(d.files, d.directory)
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

// close writes the commit index that waits, and closes the log.
func (d *diskLog) close() error {
	d.mutex.Lock()
	failed := d.wal.failed != nil
	d.mutex.Unlock()
	var err error
	if !failed {
		err = d.Save(nil, nil, true)
	}
	return errors.Join(err, d.wal.close())
}
