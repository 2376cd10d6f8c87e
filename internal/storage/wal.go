package storage

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"syscall"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
)

// maxRetainedBuffer bounds the memory that is kept for encoding, in bytes.
const maxRetainedBuffer = 1 << 20

// errFailed: what a file holds is unknown after a write failed.
var errFailed = errors.New("storage: an earlier write failed")

// writeAheadLog appends batches to the newest segment. It is not safe for use
// by several goroutines.
type writeAheadLog struct {
	files       fileSystem
	directory   string
	logger      *slog.Logger
	segmentSize int64

	id raft.ReplicaID
	// state is what the files say.
	state    walState
	segments []segment
	file     dataFile // the newest segment
	// offset is where it is written on.
	offset int64
	// sequence is the newest record, synced the newest that is durable.
	sequence, synced uint64
	buffer           []byte
	// closedCleanly: the newest record is a mark of closing.
	closedCleanly bool
	failed        error
}

// createLog makes the first segment. It has its name only once it is whole, so
// that a folder with a segment is a folder whose creation was finished.
func createLog(files fileSystem, directory string, id raft.ReplicaID, segmentSize int64) error {
	path := filepath.Join(directory, segmentName(firstSegment))
	file, err := files.Create(path + newSuffix)
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	header := segmentHeader{ReplicaID: id, Segment: firstSegment, Size: segmentSize, State: walState{FirstSegment: firstSegment}}
	err = writeFirstSegment(file, header)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	if err := files.SyncDirectory(directory); err != nil {
		return err
	}
	if err := files.Rename(path+newSuffix, path); err != nil {
		return fmt.Errorf("name log: %w", err)
	}
	return files.SyncDirectory(directory)
}

func writeFirstSegment(file dataFile, header segmentHeader) error {
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

func encodeSegmentHeader(buffer []byte, header segmentHeader, sequence, synced uint64) ([]byte, error) {
	payload, err := cbor.Marshal(header)
	if err != nil {
		return nil, err
	}
	buffer, start := beginRecord(buffer)
	buffer = append(buffer, payload...)
	endRecord(buffer, start, walRecord{Sequence: sequence, Synced: synced, Type: recordTypeSegment, End: true})
	return buffer, nil
}

// openLog reads a log, cuts what was not synced, and returns it with the
// entries that it holds. numbers are its segments, at least one.
func openLog(files fileSystem, directory string, logger *slog.Logger, segmentSize int64, numbers []uint64) (*writeAheadLog, []raft.Entry, error) {
	r := &replay{files: files, directory: directory, logger: logger}
	if err := r.readAll(numbers); err != nil {
		return nil, nil, err
	}
	newest := r.segments[len(r.segments)-1]
	file, err := files.Open(r.path(newest.number))
	if err != nil {
		return nil, nil, fmt.Errorf("open segment: %w", err)
	}
	if err := r.repair(file); err != nil {
		_ = file.Close()
		return nil, nil, err
	}
	w := &writeAheadLog{
		files: files, directory: directory, logger: logger, segmentSize: segmentSize,
		id: r.id, state: r.state, segments: r.segments, file: file, offset: r.end,
		sequence: r.next - 1, synced: r.next - 1, closedCleanly: r.closedCleanly,
	}
	return w, r.entries, nil
}

// read returns the entries that the files hold.
func (w *writeAheadLog) read() ([]raft.Entry, error) {
	r := &replay{files: w.files, directory: w.directory, logger: w.logger}
	numbers, err := segmentNumbers(w.files, w.directory)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return nil, corrupt(w.newestPath(), "missing")
	}
	if err := r.readAll(numbers); err != nil {
		return nil, err
	}
	if r.next != w.sequence+1 {
		return nil, corrupt(w.newestPath(), "ends with record %d, expected %d", r.next-1, w.sequence)
	}
	return r.entries, nil
}

func (w *writeAheadLog) newest() *segment { return &w.segments[len(w.segments)-1] }

func (w *writeAheadLog) newestPath() string {
	return filepath.Join(w.directory, segmentName(w.newest().number))
}

// append writes a batch with one write, and syncs it and all before it with
// one sync if it has to be durable. A batch that does not fit opens a segment.
func (w *writeAheadLog) append(batch walBatch, sync bool) error {
	if w.failed != nil {
		return fmt.Errorf("%w: %w", errFailed, w.failed)
	}
	err := w.write(batch)
	if errors.Is(err, ErrNoSpace) {
		return err
	}
	if err == nil && sync {
		err = w.sync()
	}
	w.failed = err
	return err
}

// classifyWriteError tells a write that a full disk refused from other failures. What it left in
// the file lies beyond all that counts, and the next write begins at the same place. A
// sync that fails is never taken for that: what the file holds is unknown then.
func classifyWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}

func (w *writeAheadLog) write(batch walBatch) error {
	records := batch.records()
	if records == 0 {
		return nil
	}
	if w.offset+batch.size() > w.newest().size {
		return w.rollSegment(batch)
	}
	w.buffer = batch.encode(w.buffer[:0], w.sequence+1, w.synced)
	return w.writeBuffer(batch, records)
}

func (w *writeAheadLog) writeBuffer(batch walBatch, records int) error {
	if _, err := w.file.WriteAt(w.buffer, w.offset); err != nil {
		return classifyWriteError(err)
	}
	w.advance(batch, records)
	return nil
}

// advance takes in that the buffer with a batch was written.
func (w *writeAheadLog) advance(batch walBatch, records int) {
	w.offset += int64(len(w.buffer))
	w.sequence += uint64(records)
	w.closedCleanly = batch.closed
	batch.applyTo(&w.state)
	if n := len(batch.entries); n > 0 {
		w.newest().last = max(w.newest().last, batch.entries[n-1].Index)
	}
	if cap(w.buffer) > maxRetainedBuffer {
		w.buffer = nil
	}
}

// sync makes all that was written durable.
func (w *writeAheadLog) sync() error {
	if w.synced == w.sequence {
		return nil
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.synced = w.sequence
	return nil
}

// rollSegment: the former segment is synced before, and the length of
// the new one before its header is written, so that neither can be torn once a
// header is there. Header and batch are durable together, name included. If the disk
// has no room, the former segment stays the newest, and the next attempt makes the new
// one again.
func (w *writeAheadLog) rollSegment(batch walBatch) error {
	if err := w.sync(); err != nil {
		return err
	}
	header := segmentHeader{ReplicaID: w.id, Segment: w.newest().number + 1, State: w.state}
	// The header's own length depends on Size only by a few bytes.
	header.Size = max(w.segmentSize, batch.size()+maxHeaderRecord)
	encoded, err := encodeSegmentHeader(w.buffer[:0], header, w.sequence+1, w.synced)
	if err != nil {
		return err
	}
	if len(encoded) > maxHeaderRecord {
		return fmt.Errorf("segment header of %d bytes, at most %d fit", len(encoded), maxHeaderRecord)
	}
	w.buffer = batch.encode(encoded, w.sequence+2, w.synced)
	file, err := w.createSegment(header)
	if err != nil {
		return classifyWriteError(err)
	}
	if _, err := file.WriteAt(w.buffer, 0); err != nil {
		_ = file.Close()
		return classifyWriteError(err)
	}
	former := w.file
	w.file, w.offset = file, 0
	w.segments = append(w.segments, segment{number: header.Segment, size: header.Size})
	w.advance(batch, 1+batch.records())
	if err := former.Close(); err != nil {
		return err
	}
	if err := w.sync(); err != nil {
		return err
	}
	return w.files.SyncDirectory(w.directory)
}

// maxHeaderRecord bounds the record that opens a segment, in bytes.
const maxHeaderRecord = 1024

func (w *writeAheadLog) createSegment(header segmentHeader) (dataFile, error) {
	file, err := w.files.Create(filepath.Join(w.directory, segmentName(header.Segment)))
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

// firstNeeded is the oldest segment that is still needed once entries up to
// index are not, and the bytes in the ones from it on.
func (w *writeAheadLog) oldestNeeded(index uint64) (number uint64, bytes int64) {
	kept := 0
	for kept < len(w.segments)-1 && w.segments[kept].last <= index {
		kept++
	}
	for _, s := range w.segments[kept:] {
		bytes += s.size
	}
	return w.segments[kept].number, bytes
}

// removeBefore removes the segments before a number, which the durable state
// names as the first needed one: whichever of the names come back after a
// power loss, they are passed over.
func (w *writeAheadLog) removeBefore(number uint64) error {
	removed := false
	for w.segments[0].number < number {
		path := filepath.Join(w.directory, segmentName(w.segments[0].number))
		if err := w.files.Remove(path); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		w.segments, removed = w.segments[1:], true
	}
	if !removed {
		return nil
	}
	return w.files.SyncDirectory(w.directory)
}

// close marks the end. It needs no sync: nothing depends on the mark.
func (w *writeAheadLog) close() error {
	var err error
	if w.failed == nil && !w.closedCleanly && w.offset+recordHeaderSize <= w.newest().size {
		err = w.append(walBatch{closed: true}, false)
	}
	return errors.Join(err, w.file.Close())
}
