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
	// DefaultSegmentSize is the length of a segment's file, in bytes. It is set
	// when the file is created; a batch that is longer gets a file of its own.
	DefaultSegmentSize = 4 << 20
	// maxRetainedBuffer bounds the memory that is kept for encoding, in bytes.
	maxRetainedBuffer = 1 << 20
	// maxHeaderRecord bounds the record that opens a segment, in bytes.
	maxHeaderRecord = 1024
)

// ErrFailed is returned once a write or sync has failed: what the file holds is
// unknown then, and only a restart finds out.
var ErrFailed = errors.New("storage: an earlier write failed")

// Config says where a log is. All fields are required.
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

	id raft.ReplicaID
	// state is what the records amount to so far.
	state    State
	segments []segment
	// file is the newest segment, offset the end of its last batch.
	file   datafile.File
	offset int64
	// sequence is the newest record, synced the newest that is durable.
	sequence, synced uint64
	buffer           []byte
	// closedCleanly: the newest record says that the log was closed in order.
	closedCleanly bool
	// failed is the first error of a write or sync.
	failed error
}

// Create makes a log with one segment. The segment gets its name only once it is
// complete, so a directory with a segment is one whose creation was finished.
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

// encodeSegmentHeader appends the record that opens a segment.
func encodeSegmentHeader(buffer []byte, header segmentHeader, sequence, synced uint64) ([]byte, error) {
	payload, err := cbor.Marshal(header)
	if err != nil {
		return nil, err
	}
	buffer, start := beginRecord(buffer)
	buffer = append(buffer, payload...)
	endRecord(buffer, start, logRecord{Sequence: sequence, Synced: synced, Type: recordTypeSegment, End: true})
	return buffer, nil
}

// Open replays the log of a directory that holds one, cuts off what was not
// synced, and returns the log with its entries. Damage is a
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
		config: config, id: r.id, state: r.state, segments: r.segments, file: file, offset: r.end,
		sequence: r.next - 1, synced: r.next - 1, closedCleanly: r.closedCleanly,
	}
	return l, r.entries, nil
}

// ReplicaID returns the id that the log was created with.
func (l *Log) ReplicaID() raft.ReplicaID { return l.id }

// State returns what the records amount to so far.
func (l *Log) State() State { return l.state }

// SegmentSize returns the length of new segments, in bytes.
func (l *Log) SegmentSize() int64 { return l.config.SegmentSize }

// Failed reports whether a write or sync has failed.
func (l *Log) Failed() bool { return l.failed != nil }

// NewestSegment returns the number of the segment that is appended to.
func (l *Log) NewestSegment() uint64 { return l.newest().number }

// NewestPath returns its path.
func (l *Log) NewestPath() string {
	return filepath.Join(l.config.Directory, SegmentName(l.newest().number))
}

func (l *Log) newest() *segment { return &l.segments[len(l.segments)-1] }

// Entries reads the entries from the files again.
func (l *Log) Entries() ([]raft.Entry, error) {
	r := &replay{config: l.config}
	if err := r.readAll(); err != nil {
		return nil, err
	}
	if r.next != l.sequence+1 {
		return nil, datafile.Corrupt(l.NewestPath(), "ends with record %d, expected %d", r.next-1, l.sequence)
	}
	return r.entries, nil
}

// Append writes a batch with one write, and, if sync is set, makes it and all
// before it durable with one sync. A batch that does not fit starts a new
// segment. After datafile.ErrNoSpace the log is unchanged and may be used on;
// after any other error all calls fail with ErrFailed.
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

func (l *Log) write(batch Batch) error {
	records := batch.records()
	if records == 0 {
		return nil
	}
	if l.offset+batch.size() > l.newest().size {
		return l.rollSegment(batch)
	}
	l.buffer = batch.encode(l.buffer[:0], l.sequence+1, l.synced)
	if _, err := l.file.WriteAt(l.buffer, l.offset); err != nil {
		// What a full disk took of it lies behind all that counts, and the next
		// write begins at the same offset.
		return datafile.ClassifyWriteError(err)
	}
	l.advance(batch, records)
	return nil
}

// advance records that the buffer with a batch was written.
func (l *Log) advance(batch Batch, records int) {
	l.offset += int64(len(l.buffer))
	l.sequence += uint64(records)
	l.closedCleanly = batch.closed
	batch.applyTo(&l.state)
	if n := len(batch.Entries); n > 0 {
		l.newest().last = max(l.newest().last, batch.Entries[n-1].Index)
	}
	if cap(l.buffer) > maxRetainedBuffer {
		l.buffer = nil
	}
}

// sync makes all that was written durable.
func (l *Log) sync() error {
	if l.synced == l.sequence {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.synced = l.sequence
	return nil
}

// rollSegment writes a batch to a new segment. The former one is synced before,
// and the length of the new one is durable before its header is written, so that
// neither can be torn once a header is there. Header and batch become durable
// together, the name last. If the disk has no space, the former segment stays
// the newest, and the next attempt creates the new one again.
func (l *Log) rollSegment(batch Batch) error {
	if err := l.sync(); err != nil {
		return err
	}
	header := segmentHeader{ReplicaID: l.id, Segment: l.newest().number + 1, State: l.state}
	// The header's own length depends on Size only by a few bytes.
	header.Size = max(l.config.SegmentSize, batch.size()+maxHeaderRecord)
	encoded, err := encodeSegmentHeader(l.buffer[:0], header, l.sequence+1, l.synced)
	if err != nil {
		return err
	}
	if len(encoded) > maxHeaderRecord {
		return fmt.Errorf("segment header of %d bytes, at most %d fit", len(encoded), maxHeaderRecord)
	}
	l.buffer = batch.encode(encoded, l.sequence+2, l.synced)
	file, err := l.createSegment(header)
	if err != nil {
		return datafile.ClassifyWriteError(err)
	}
	if _, err := file.WriteAt(l.buffer, 0); err != nil {
		_ = file.Close()
		return datafile.ClassifyWriteError(err)
	}
	former := l.file
	l.file, l.offset = file, 0
	l.segments = append(l.segments, segment{number: header.Segment, size: header.Size})
	l.advance(batch, 1+batch.records())
	if err := former.Close(); err != nil {
		return err
	}
	if err := l.sync(); err != nil {
		return err
	}
	return l.config.Files.SyncDirectory(l.config.Directory)
}

// createSegment makes a file of the header's size and syncs its length.
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

// OldestNeeded returns the oldest segment that is still needed once the entries
// up to index are not, and the bytes in the segments from it on.
func (l *Log) OldestNeeded(index uint64) (number uint64, bytes int64) {
	oldest := 0
	for oldest < len(l.segments)-1 && l.segments[oldest].last <= index {
		oldest++
	}
	for _, s := range l.segments[oldest:] {
		bytes += s.size
	}
	return l.segments[oldest].number, bytes
}

// RemoveBefore removes the segments before a number. A durable SnapshotRecord
// must name that number as the oldest needed one: whichever of the names a loss
// of power brings back, a replay ignores them.
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

// Close records that the log was closed in order, and closes its file. The
// record needs no sync: without it damage to the last batch looks like a torn
// write, and nothing else depends on it.
func (l *Log) Close() error {
	var err error
	if l.failed == nil && !l.closedCleanly && l.offset+recordHeaderSize <= l.newest().size {
		err = l.Append(Batch{closed: true}, false)
	}
	return errors.Join(err, l.file.Close())
}

// Abandon closes the file and writes nothing.
func (l *Log) Abandon() error { return l.file.Close() }
