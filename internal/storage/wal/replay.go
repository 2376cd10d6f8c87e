package wal

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// replay reads a log from its files. readAll changes nothing; repair then makes
// the files be what was read.
type replay struct {
	config Config

	id       raft.ReplicaID
	state    State
	entries  []raft.Entry
	segments []segment
	// next is the sequence of the record that follows.
	next uint64
	// closedCleanly: the newest record says that the log was closed in order.
	closedCleanly bool
	// end is the offset at which the newest segment is appended to.
	end int64
	// tail is what a torn write left behind that; nil if it is all zeros.
	tail *tornTail
	// obsolete are the segments before the oldest needed one.
	obsolete []uint64
	// unfinished is the segment that was being created when the power failed; 0
	// if there is none.
	unfinished uint64
}

// tornTail is a range of unsynced bytes that are no valid batch.
type tornTail struct {
	start, end int64
}

func (r *replay) path(number uint64) string {
	return filepath.Join(r.config.Directory, SegmentName(number))
}

func (r *replay) newest() *segment { return &r.segments[len(r.segments)-1] }

// readAll reads all segments that are needed and changes nothing.
func (r *replay) readAll() error {
	numbers, err := SegmentNumbers(r.config.Files, r.config.Directory)
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		return datafile.Corrupt(r.path(FirstSegment), "missing")
	}
	newest, err := r.findNewest(numbers)
	if err != nil {
		return err
	}
	if r.obsolete, err = r.checkNeeded(newest.numbers, newest.oldestNeeded, newest.number()); err != nil {
		return err
	}
	for number := newest.oldestNeeded; number < newest.number(); number++ {
		older, err := readSegment(r.config.Files, r.config.Directory, number)
		if err != nil {
			return err
		}
		if err := r.readOlder(number, older); err != nil {
			return err
		}
	}
	if err := r.readNewest(newest.number(), newest.content); err != nil {
		return err
	}
	if provesSynced(newest.unfinished, r.next) {
		return datafile.Corrupt(r.path(r.unfinished), "does not start with a whole segment header, though it was synced")
	}
	return nil
}

// newestSegment is the newest segment with a complete header.
type newestSegment struct {
	// numbers has its own, which is the last, and those of all older ones.
	numbers []uint64
	content []byte
	// oldestNeeded is the oldest segment that is still needed.
	oldestNeeded uint64
	// unfinished is the content of the segment after it, if that one was being
	// created when the power failed.
	unfinished []byte
}

func (s newestSegment) number() uint64 { return s.numbers[len(s.numbers)-1] }

// findNewest finds the newest segment with a complete header. A newer one was
// being created when the power failed: this one is complete then, and its records
// show whether the newer one was ever synced.
func (r *replay) findNewest(numbers []uint64) (newestSegment, error) {
	newest, complete, err := r.readHeader(numbers)
	if err != nil || complete {
		return newest, err
	}
	older := numbers[:len(numbers)-1]
	if len(older) == 0 || older[len(older)-1] != newest.number()-1 {
		return newest, r.errMissingHeader(newest.number())
	}
	r.unfinished = newest.number()
	unfinished := newest.content
	newest, complete, err = r.readHeader(older)
	if err == nil && !complete {
		err = r.errMissingHeader(newest.number())
	}
	newest.unfinished = unfinished
	return newest, err
}

// readHeader reads the last of the segments; complete reports whether its header
// is.
func (r *replay) readHeader(numbers []uint64) (last newestSegment, complete bool, err error) {
	last.numbers = numbers
	if last.content, err = readSegment(r.config.Files, r.config.Directory, last.number()); err != nil {
		return last, false, err
	}
	last.oldestNeeded, complete = oldestNeededSegment(last.content)
	return last, complete, nil
}

func (r *replay) errMissingHeader(number uint64) error {
	return datafile.Corrupt(r.path(number), "does not start with a whole segment header")
}

// checkNeeded returns the segments before first, and rejects a gap from there on.
func (r *replay) checkNeeded(numbers []uint64, first, newest uint64) (obsolete []uint64, err error) {
	for number := first; number <= newest; number++ {
		if !slices.Contains(numbers, number) {
			return nil, datafile.Corrupt(r.path(number), "missing")
		}
	}
	for _, number := range numbers {
		if number < first {
			obsolete = append(obsolete, number)
		}
	}
	return obsolete, nil
}

// readOlder reads a segment that was synced before a newer one was made, so
// that nothing in it can be torn.
func (r *replay) readOlder(number uint64, content []byte) error {
	result, err := r.read(number, content)
	if err != nil {
		return err
	}
	if !allZero(content[result.end:]) {
		return datafile.Corrupt(r.path(number), "record %d at offset %d does not check", result.bad, result.end)
	}
	return nil
}

// readNewest finds the end of what was synced. Invalid bytes behind it are a torn
// write, unless a later record proves that they were durable.
func (r *replay) readNewest(number uint64, content []byte) error {
	result, err := r.read(number, content)
	if err != nil {
		return err
	}
	rest := content[result.end:]
	if !allZero(rest) {
		if provesSynced(rest, result.bad) {
			return datafile.Corrupt(r.path(number), "record %d, in the batch at offset %d, does not check, though it was synced", result.bad, result.end)
		}
		end := len(rest)
		for rest[end-1] == 0 {
			end--
		}
		r.tail = &tornTail{start: int64(result.end), end: int64(result.end + end)}
	}
	r.end = int64(result.end)
	return nil
}

// read replays the batches of one segment.
func (r *replay) read(number uint64, content []byte) (scanResult, error) {
	r.segments = append(r.segments, segment{number: number, size: int64(len(content))})
	opened := false
	result, err := scanBatches(content, r.next, func(batch []logRecord) error {
		for i, record := range batch {
			// The header is the first record, and no other.
			if (record.Type == recordTypeSegment) == (opened || i > 0) {
				return datafile.Corrupt(r.path(number), "record %d of type %d is out of place", record.Sequence, record.Type)
			}
			opened = true
			if err := r.apply(number, content, record); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return result, err
	}
	if !opened {
		return result, datafile.Corrupt(r.path(number), "does not start with segment header %d", r.next)
	}
	r.next = result.next
	return result, nil
}

// apply adds one record to the state.
func (r *replay) apply(number uint64, content []byte, record logRecord) error {
	ok := true
	r.closedCleanly = record.Type == recordTypeClosed
	switch record.Type {
	case recordTypeSegment:
		return r.openSegment(number, content, record)
	case recordTypeHardState:
		var state raft.HardState
		if state, ok = decodeHardState(record.Payload); ok {
			r.state.HardState = state
		}
	case recordTypeEntry:
		var entry raft.Entry
		if entry, ok = decodeEntry(record.Payload); ok {
			r.addEntry(entry)
		}
	case recordTypeSnapshot:
		var snapshot SnapshotRecord
		if ok = decodeInto(record.Payload, &snapshot); ok {
			r.state.applySnapshot(snapshot)
			r.discardBefore(snapshot)
		}
	case recordTypeClosed:
	}
	if !ok {
		return datafile.Corrupt(r.path(number), "record %d of type %d cannot be decoded", record.Sequence, record.Type)
	}
	return nil
}

// openSegment checks the header against the records before it.
func (r *replay) openSegment(number uint64, content []byte, record logRecord) error {
	var header segmentHeader
	if !decodeInto(record.Payload, &header) {
		return datafile.Corrupt(r.path(number), "segment header cannot be decoded")
	}
	if header.Segment != number {
		return datafile.Corrupt(r.path(number), "is segment %d by its header", header.Segment)
	}
	if header.Size != int64(len(content)) {
		return datafile.Corrupt(r.path(number), "is %d bytes long, expected %d", len(content), header.Size)
	}
	if len(r.segments) > 1 && (header.State != r.state || header.ReplicaID != r.id) {
		return datafile.Corrupt(r.path(number), "does not go on from segment %d", number-1)
	}
	r.id, r.state = header.ReplicaID, header.State
	return nil
}

// addEntry puts an entry in place of all from its index on.
func (r *replay) addEntry(entry raft.Entry) {
	r.newest().last = max(r.newest().last, entry.Index)
	r.state.LastIndex = entry.Index
	for n := len(r.entries); n > 0 && r.entries[n-1].Index >= entry.Index; n-- {
		r.entries = r.entries[:n-1]
	}
	if entry.Index >= r.state.FirstIndex {
		r.entries = append(r.entries, entry)
	}
}

// discardBefore drops the entries that a snapshot replaces.
func (r *replay) discardBefore(snapshot SnapshotRecord) {
	if snapshot.DropLog {
		r.entries = nil
		return
	}
	kept := slices.IndexFunc(r.entries, func(entry raft.Entry) bool { return entry.Index >= snapshot.FirstIndex })
	if kept < 0 {
		kept = len(r.entries)
	}
	r.entries = r.entries[kept:]
}

// repair makes the files be what was read, and what was read durable: a killed
// process may have left bytes and names that only the machine's memory holds.
func (r *replay) repair(newest datafile.File) error {
	if r.tail != nil {
		r.config.Logger.Warn("torn log tail truncated", "file", r.path(r.newest().number),
			"offset", r.tail.start, "bytes", r.tail.end-r.tail.start)
		if err := writeZeros(newest, r.tail.start, r.tail.end); err != nil {
			return fmt.Errorf("truncate torn tail: %w", err)
		}
	}
	if err := newest.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	remove := r.obsolete
	if r.unfinished != 0 {
		r.config.Logger.Warn("unfinished segment removed", "file", r.path(r.unfinished))
		remove = append(remove, r.unfinished)
	}
	for _, number := range remove {
		if err := r.config.Files.Remove(r.path(number)); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
	}
	return r.config.Files.SyncDirectory(r.config.Directory)
}

// writeZeros overwrites a range; the length of the file stays.
func writeZeros(file datafile.File, start, end int64) error {
	zeros := make([]byte, min(end-start, 1<<20))
	for at := start; at < end; {
		n, err := file.WriteAt(zeros[:min(end-at, int64(len(zeros)))], at)
		if err != nil {
			return err
		}
		at += int64(n)
	}
	return nil
}

func decodeInto(payload []byte, into any) bool { return cbor.Unmarshal(payload, into) == nil }
