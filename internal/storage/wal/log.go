package wal

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
)

const (
	// DefaultSegmentSize is the length of a segment's file, in bytes. The file has
	// its full length from its creation on; a batch that does not fit in that
	// length gets a longer segment of its own.
	DefaultSegmentSize = 4 << 20
	// maxRetainedBuffer bounds the encoding buffer that is kept between writes, in
	// bytes.
	maxRetainedBuffer = 1 << 20
	// maxHeaderRecord bounds the record with the segment header, in bytes.
	maxHeaderRecord = 1024
)

// ErrFailed is returned by every Append after a write or sync has failed. The content
// of the file is unknown from then on, until a restart replays it.
var ErrFailed = errors.New("storage: an earlier write or sync failed")

// Config configures a Log. All fields are required.
type Config struct {
	Files     datafile.FileSystem
	Directory string
	Logger    *slog.Logger
	// SegmentSize is the length of new segments, in bytes.
	SegmentSize int64
}

// Log appends batches to the newest segment. It is not safe for concurrent use.
type Log struct {
	config Config

	replicaID raft.ReplicaID
	// state is the result of all records so far.
	state    State
	segments []segment // oldest first
	// file is the newest segment; offset is the end of its last batch.
	file   datafile.File
	offset int64
	// lastSequence is the sequence number of the newest record, syncedSequence that
	// of the newest durable record.
	lastSequence, syncedSequence uint64
	buffer                       []byte
	// closedCleanly reports that the newest record is that of a clean close.
	closedCleanly bool
	// failed is the first error of a write or sync, other than
	// datafile.ErrNoSpace.
	failed error
}

// Create creates a log with one segment. The segment is renamed to its final name
// once it is complete and synced, so a directory that has a segment has a complete
// log.
func Create(config Config, id raft.ReplicaID) error {
	path := filepath.Join(config.Directory, SegmentName(FirstSegment))
	file, err := config.Files.Create(path + datafile.UnfinishedSuffix)
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	header := segmentHeader{
		ReplicaID: id,
		Segment:   FirstSegment,
		Size:      config.SegmentSize,
		State:     State{FirstSegment: FirstSegment},
	}
	err = writeFirstSegment(file, header)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	if err := config.Files.SyncDirectory(config.Directory); err != nil {
		return err
	}
	if err := config.Files.Rename(path+datafile.UnfinishedSuffix, path); err != nil {
		return fmt.Errorf("rename log: %w", err)
	}
	return config.Files.SyncDirectory(config.Directory)
}

// writeFirstSegment sets the length of the file, writes the header and syncs both.
func writeFirstSegment(file datafile.File, header segmentHeader) error {
	if err := file.Truncate(header.Size); err != nil {
		return err
	}
	encoded, err := encodeSegmentHeader(nil, header, 1, 0)
	if err != nil {
		return err
	}
	if _, err := file.WriteAt(encoded, 0); err != nil {
		return err
	}
	return file.Sync()
}

// encodeSegmentHeader appends the record with the segment header to buffer.
func encodeSegmentHeader(buffer []byte, header segmentHeader, sequence, synced uint64) ([]byte, error) {
	payload, err := cbor.Marshal(header)
	if err != nil {
		return nil, err
	}
	buffer, start := beginRecord(buffer)
	buffer = append(buffer, payload...)
	endRecord(buffer, start, logRecord{Sequence: sequence, SyncedSequence: synced, Type: recordTypeSegment, EndOfBatch: true})
	return buffer, nil
}

// Open replays the log of a directory, truncates a torn tail, and returns the log
// and its entries. If the log is missing or damaged, it returns a
// datafile.CorruptError that names the segment.
func Open(config Config) (*Log, []raft.Entry, error) {
	r := &replay{config: config}
	if err := r.readAll(); err != nil {
		return nil, nil, err
	}
	file, err := config.Files.Open(r.path(r.newest().number))
	if err != nil {
		return nil, nil, fmt.Errorf("open segment: %w", err)
	}
	if err := r.repair(file); err != nil {
		_ = file.Close()
		return nil, nil, err
	}
	l := &Log{
		config: config, replicaID: r.replicaID, state: r.state, segments: r.segments, file: file, offset: r.endOffset,
		lastSequence: r.nextSequence - 1, syncedSequence: r.nextSequence - 1, closedCleanly: r.closedCleanly,
	}
	return l, r.entries, nil
}

// ReplicaID returns the replica id that the log was created with.
func (l *Log) ReplicaID() raft.ReplicaID { return l.replicaID }

// State returns the result of all records so far.
func (l *Log) State() State { return l.state }

// SegmentSize returns the length of new segments, in bytes.
func (l *Log) SegmentSize() int64 { return l.config.SegmentSize }

// Failed reports whether all further calls of Append fail with ErrFailed.
func (l *Log) Failed() bool { return l.failed != nil }

// NewestSegment returns the number of the segment that is appended to.
func (l *Log) NewestSegment() uint64 { return l.newest().number }

// NewestPath returns the path of the segment that is appended to.
func (l *Log) NewestPath() string {
	return filepath.Join(l.config.Directory, SegmentName(l.newest().number))
}

func (l *Log) newest() *segment { return &l.segments[len(l.segments)-1] }

// ReadEntries reads all segments again and returns the entries. It fails with a
// datafile.CorruptError if the files do not end with the newest record.
func (l *Log) ReadEntries() ([]raft.Entry, error) {
	r := &replay{config: l.config}
	if err := r.readAll(); err != nil {
		return nil, err
	}
	if r.nextSequence != l.lastSequence+1 {
		return nil, datafile.NewCorruptError(l.NewestPath(), "ends with record %d, expected %d", r.nextSequence-1, l.lastSequence)
	}
	return r.entries, nil
}

// Append writes a batch with one write. If sync is set, it makes this and all
// earlier batches durable with one sync. A batch that does not fit in the newest
// segment starts a new one. After datafile.ErrNoSpace the log is unchanged and can
// still be used; after any other error all further calls fail with ErrFailed.
func (l *Log) Append(batch Batch, sync bool) error {
	if l.failed != nil {
		return fmt.Errorf("%w: %w", ErrFailed, l.failed)
	}
	err := l.write(batch)
	if errors.Is(err, datafile.ErrNoSpace) {
		return err
	}
	if err == nil && sync {
		err = l.sync()
	}
	l.failed = err
	return err
}

// write writes a batch to the newest segment or to a new one.
func (l *Log) write(batch Batch) error {
	records := batch.recordCount()
	if records == 0 {
		return nil
	}
	if l.offset+batch.encodedSize() > l.newest().size {
		return l.rollSegment(batch)
	}
	l.buffer = batch.encode(l.buffer[:0], l.lastSequence+1, l.syncedSequence)
	if _, err := l.file.WriteAt(l.buffer, l.offset); err != nil {
		// On a full disk a part of the batch may have been written. It is beyond
		// the last valid batch, and the next write starts at the same offset.
		return datafile.ClassifyWriteError(err)
	}
	l.recordAppended(batch, records)
	return nil
}

// recordAppended updates offset, sequence number and state after the buffer with a
// batch was written. records is the number of records in the buffer.
func (l *Log) recordAppended(batch Batch, records int) {
	l.offset += int64(len(l.buffer))
	l.lastSequence += uint64(records)
	l.closedCleanly = batch.closesLog
	batch.applyTo(&l.state)
	if n := len(batch.Entries); n > 0 {
		l.newest().lastIndex = max(l.newest().lastIndex, batch.Entries[n-1].Index)
	}
	if cap(l.buffer) > maxRetainedBuffer {
		l.buffer = nil
	}
}

// sync syncs the newest segment if it has records that are not durable.
func (l *Log) sync() error {
	if l.syncedSequence == l.lastSequence {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.syncedSequence = l.lastSequence
	return nil
}

// rollSegment writes a batch to a new segment. The previous segment is synced
// first, and the length of the new one is durable before its header is written: a
// segment with a header has its full length, and the one before it cannot be torn.
// Header and batch become durable with one sync, and the name after them. If the
// disk is full, the previous segment stays the newest, and the next attempt creates
// the new one again.
func (l *Log) rollSegment(batch Batch) error {
	if err := l.sync(); err != nil {
		return err
	}
	header := segmentHeader{ReplicaID: l.replicaID, Segment: l.newest().number + 1, State: l.state}
	// Size is encoded in the header and changes its length by a few bytes, so the
	// bound of the header's length is used here.
	header.Size = max(l.config.SegmentSize, batch.encodedSize()+maxHeaderRecord)
	encoded, err := encodeSegmentHeader(l.buffer[:0], header, l.lastSequence+1, l.syncedSequence)
	if err != nil {
		return err
	}
	if len(encoded) > maxHeaderRecord {
		return fmt.Errorf("segment header is %d bytes long, at most %d allowed", len(encoded), maxHeaderRecord)
	}
	l.buffer = batch.encode(encoded, l.lastSequence+2, l.syncedSequence)
	file, err := l.createSegment(header)
	if err != nil {
		return datafile.ClassifyWriteError(err)
	}
	if _, err := file.WriteAt(l.buffer, 0); err != nil {
		_ = file.Close()
		return datafile.ClassifyWriteError(err)
	}
	previousFile := l.file
	l.file, l.offset = file, 0
	l.segments = append(l.segments, segment{number: header.Segment, size: header.Size})
	l.recordAppended(batch, 1+batch.recordCount())
	if err := previousFile.Close(); err != nil {
		return err
	}
	if err := l.sync(); err != nil {
		return err
	}
	return l.config.Files.SyncDirectory(l.config.Directory)
}

// createSegment creates a file with the length in the header and syncs it.
func (l *Log) createSegment(header segmentHeader) (datafile.File, error) {
	file, err := l.config.Files.Create(filepath.Join(l.config.Directory, SegmentName(header.Segment)))
	if err != nil {
		return nil, err
	}
	err = file.Truncate(header.Size)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// OldestNeeded returns the oldest segment that is still needed if the entries up to
// index are discarded, and the total length of the segments from that one on, in
// bytes.
func (l *Log) OldestNeeded(index uint64) (number uint64, bytes int64) {
	oldest := 0
	for oldest < len(l.segments)-1 && l.segments[oldest].lastIndex <= index {
		oldest++
	}
	for _, s := range l.segments[oldest:] {
		bytes += s.size
	}
	return l.segments[oldest].number, bytes
}

// RemoveBefore removes the segments before a number. A durable SnapshotRecord must
// name that number as its FirstSegment: a replay then ignores older segments whose
// removal a power loss undoes.
func (l *Log) RemoveBefore(number uint64) error {
	removed := false
	for l.segments[0].number < number {
		path := filepath.Join(l.config.Directory, SegmentName(l.segments[0].number))
		if err := l.config.Files.Remove(path); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		l.segments, removed = l.segments[1:], true
	}
	if !removed {
		return nil
	}
	return l.config.Files.SyncDirectory(l.config.Directory)
}

// Close appends the record of a clean close, if there is room for it in the segment
// and no write has failed, and closes the file. The record is not synced: if it is
// lost, damage to the last batch looks like a torn write, and nothing else depends
// on it.
func (l *Log) Close() error {
	var err error
	if l.failed == nil && !l.closedCleanly && l.offset+recordHeaderSize <= l.newest().size {
		err = l.Append(Batch{closesLog: true}, false)
	}
	return errors.Join(err, l.file.Close())
}

// Abandon closes the file without the record of a clean close.
func (l *Log) Abandon() error { return l.file.Close() }
