package wal

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// replay reads a log from its files. readAll only reads them; repair then removes
// from the files whatever readAll did not take as part of the log.
type replay struct {
	config Config

	replicaID raft.ReplicaID
	state     State
	entries   []raft.Entry
	segments  []segment
	// nextSequence is the sequence of the record that follows the last valid one.
	nextSequence uint64
	// closedCleanly reports that the newest record is that of a clean close.
	closedCleanly bool
	// endOffset is the end of the last valid batch in the newest segment.
	endOffset int64
	// torn is the range after endOffset that a torn write left; nil if there are
	// only zeros.
	torn *tornTail
	// obsoleteSegments are the numbers of the segments before the oldest needed
	// one.
	obsoleteSegments []uint64
	// unfinishedSegment is the number of a segment whose creation was interrupted;
	// 0 if there is none.
	unfinishedSegment uint64
}

// tornTail is a range of offsets in the newest segment, with unsynced bytes that
// form no valid batch.
type tornTail struct {
	start, end int64
}

func (r *replay) path(number uint64) string {
	return filepath.Join(r.config.Directory, SegmentName(number))
}

func (r *replay) newest() *segment { return &r.segments[len(r.segments)-1] }

// readAll reads and verifies all needed segments. It does not write.
func (r *replay) readAll() error {
	numbers, err := SegmentNumbers(r.config.Files, r.config.Directory)
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		return datafile.NewCorruptError(r.path(FirstSegment), "missing")
	}
	newest, err := r.findNewest(numbers)
	if err != nil {
		return err
	}
	if r.obsoleteSegments, err = r.findObsoleteSegments(newest.numbers, newest.oldestNeeded, newest.number()); err != nil {
		return err
	}
	for number := newest.oldestNeeded; number < newest.number(); number++ {
		content, err := readSegment(r.config.Files, r.config.Directory, number)
		if err != nil {
			return err
		}
		if err := r.readOlderSegment(number, content); err != nil {
			return err
		}
	}
	if err := r.readNewestSegment(newest.number(), newest.content); err != nil {
		return err
	}
	if provesSynced(newest.unfinished, r.nextSequence) {
		return datafile.NewCorruptError(r.path(r.unfinishedSegment), "does not start with a complete segment header, although it was synced")
	}
	return nil
}

// newestSegment is the newest segment with a complete header.
type newestSegment struct {
	// numbers are the numbers of this segment, which is the last, and of all older
	// segments.
	numbers []uint64
	content []byte
	// oldestNeeded is the oldest segment that is still needed.
	oldestNeeded uint64
	// unfinished is the content of the next segment, if its creation was
	// interrupted.
	unfinished []byte
}

func (s newestSegment) number() uint64 { return s.numbers[len(s.numbers)-1] }

// findNewest returns the newest segment with a complete header. If the last segment
// has none, its creation was interrupted: the segment before it must have one, and
// readAll checks in the content of the last segment whether it had been synced.
func (r *replay) findNewest(numbers []uint64) (newestSegment, error) {
	newest, complete, err := r.readHeader(numbers)
	if err != nil || complete {
		return newest, err
	}
	older := numbers[:len(numbers)-1]
	if len(older) == 0 || older[len(older)-1] != newest.number()-1 {
		return newest, r.errMissingHeader(newest.number())
	}
	r.unfinishedSegment = newest.number()
	unfinished := newest.content
	newest, complete, err = r.readHeader(older)
	if err == nil && !complete {
		err = r.errMissingHeader(newest.number())
	}
	newest.unfinished = unfinished
	return newest, err
}

// readHeader reads the last of the segments; complete reports whether that segment
// has a complete header.
func (r *replay) readHeader(numbers []uint64) (last newestSegment, complete bool, err error) {
	last.numbers = numbers
	if last.content, err = readSegment(r.config.Files, r.config.Directory, last.number()); err != nil {
		return last, false, err
	}
	last.oldestNeeded, complete = oldestNeededSegment(last.content)
	return last, complete, nil
}

func (r *replay) errMissingHeader(number uint64) error {
	return datafile.NewCorruptError(r.path(number), "does not start with a complete segment header")
}

// findObsoleteSegments returns the numbers below first, whose segments are obsolete. It
// returns an error if a segment from first to newest is missing.
func (r *replay) findObsoleteSegments(numbers []uint64, first, newest uint64) (obsolete []uint64, err error) {
	for number := first; number <= newest; number++ {
		if !slices.Contains(numbers, number) {
			return nil, datafile.NewCorruptError(r.path(number), "missing")
		}
	}
	for _, number := range numbers {
		if number < first {
			obsolete = append(obsolete, number)
		}
	}
	return obsolete, nil
}

// readOlderSegment replays a segment before the newest one. It was synced before the
// next segment was created, so an invalid record in it is damage, not a torn write.
func (r *replay) readOlderSegment(number uint64, content []byte) error {
	result, err := r.replaySegment(number, content)
	if err != nil {
		return err
	}
	if !allZero(content[result.endOffset:]) {
		return datafile.NewCorruptError(r.path(number), "record %d at offset %d does not check", result.invalidSequence, result.endOffset)
	}
	return nil
}

// readNewestSegment replays the newest segment and finds the end of its last valid
// batch. Invalid bytes after that end are a torn write, unless a later record
// proves that they were durable.
func (r *replay) readNewestSegment(number uint64, content []byte) error {
	result, err := r.replaySegment(number, content)
	if err != nil {
		return err
	}
	remainder := content[result.endOffset:]
	if !allZero(remainder) {
		if provesSynced(remainder, result.invalidSequence) {
			return datafile.NewCorruptError(r.path(number), "record %d, in the batch at offset %d, does not check, though it was synced", result.invalidSequence, result.endOffset)
		}
		end := len(remainder)
		for remainder[end-1] == 0 {
			end--
		}
		r.torn = &tornTail{start: int64(result.endOffset), end: int64(result.endOffset + end)}
	}
	r.endOffset = int64(result.endOffset)
	return nil
}

// replaySegment replays the complete batches of one segment up to the first invalid
// record.
func (r *replay) replaySegment(number uint64, content []byte) (scanResult, error) {
	r.segments = append(r.segments, segment{number: number, size: int64(len(content))})
	headerSeen := false
	result, err := scanBatches(content, r.nextSequence, func(batch []logRecord) error {
		for i, record := range batch {
			// The first record, and no other, must be a segment header.
			if (record.Type == recordTypeSegment) == (headerSeen || i > 0) {
				return datafile.NewCorruptError(r.path(number), "record %d of type %d is not allowed at this position", record.Sequence, record.Type)
			}
			headerSeen = true
			if err := r.applyRecord(number, content, record); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return result, err
	}
	if !headerSeen {
		return result, datafile.NewCorruptError(r.path(number), "does not start with segment header %d", r.nextSequence)
	}
	r.nextSequence = result.nextSequence
	return result, nil
}

// applyRecord updates state and entries with one record.
func (r *replay) applyRecord(number uint64, content []byte, record logRecord) error {
	ok := true
	r.closedCleanly = record.Type == recordTypeClosed
	switch record.Type {
	case recordTypeSegment:
		return r.applySegmentHeader(number, content, record)
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
		if ok = decodeCBOR(record.Payload, &snapshot); ok {
			r.state.applySnapshot(snapshot)
			r.discardEntries(snapshot)
		}
	case recordTypeClosed:
	}
	if !ok {
		return datafile.NewCorruptError(r.path(number), "record %d of type %d cannot be decoded", record.Sequence, record.Type)
	}
	return nil
}

// applySegmentHeader checks the header against the file and the segments replayed so
// far. The header of the first segment provides the replica id and the state.
func (r *replay) applySegmentHeader(number uint64, content []byte, record logRecord) error {
	var header segmentHeader
	if !decodeCBOR(record.Payload, &header) {
		return datafile.NewCorruptError(r.path(number), "segment header cannot be decoded")
	}
	if header.Segment != number {
		return datafile.NewCorruptError(r.path(number), "header has segment number %d", header.Segment)
	}
	if header.Size != int64(len(content)) {
		return datafile.NewCorruptError(r.path(number), "is %d bytes long, expected %d", len(content), header.Size)
	}
	if len(r.segments) > 1 && (header.State != r.state || header.ReplicaID != r.replicaID) {
		return datafile.NewCorruptError(r.path(number), "header does not match the end of segment %d", number-1)
	}
	r.replicaID, r.state = header.ReplicaID, header.State
	return nil
}

// addEntry removes all entries from the index of entry on, and appends entry unless
// its index is before FirstIndex.
func (r *replay) addEntry(entry raft.Entry) {
	r.newest().lastIndex = max(r.newest().lastIndex, entry.Index)
	r.state.LastIndex = entry.Index
	for n := len(r.entries); n > 0 && r.entries[n-1].Index >= entry.Index; n-- {
		r.entries = r.entries[:n-1]
	}
	if entry.Index >= r.state.FirstIndex {
		r.entries = append(r.entries, entry)
	}
}

// discardEntries discards the entries before the FirstIndex of a snapshot record, or
// all of them if it has DropLog.
func (r *replay) discardEntries(snapshot SnapshotRecord) {
	if snapshot.DropLog {
		r.entries = nil
		return
	}
	firstRetained := slices.IndexFunc(r.entries, func(entry raft.Entry) bool { return entry.Index >= snapshot.FirstIndex })
	if firstRetained < 0 {
		firstRetained = len(r.entries)
	}
	r.entries = r.entries[firstRetained:]
}

// repair overwrites a torn tail with zeros, syncs the newest segment, and removes
// obsolete and unfinished segments. The syncs are needed because a killed process
// may have left written data and changed names that are only in the page cache.
func (r *replay) repair(newest datafile.File) error {
	if r.torn != nil {
		r.config.Logger.Warn("torn log tail truncated", "file", r.path(r.newest().number),
			"offset", r.torn.start, "bytes", r.torn.end-r.torn.start)
		if err := writeZeros(newest, r.torn.start, r.torn.end); err != nil {
			return fmt.Errorf("truncate torn tail: %w", err)
		}
	}
	if err := newest.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	remove := r.obsoleteSegments
	if r.unfinishedSegment != 0 {
		r.config.Logger.Warn("unfinished segment removed", "file", r.path(r.unfinishedSegment))
		remove = append(remove, r.unfinishedSegment)
	}
	for _, number := range remove {
		if err := r.config.Files.Remove(r.path(number)); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
	}
	return r.config.Files.SyncDirectory(r.config.Directory)
}

// writeZeros overwrites the range from start to end, which lies within the file.
func writeZeros(file datafile.File, start, end int64) error {
	zeros := make([]byte, min(end-start, 1<<20))
	for offset := start; offset < end; {
		n, err := file.WriteAt(zeros[:min(end-offset, int64(len(zeros)))], offset)
		if err != nil {
			return err
		}
		offset += int64(n)
	}
	return nil
}

// decodeCBOR decodes the payload into target and reports whether that succeeded.
func decodeCBOR(payload []byte, target any) bool { return cbor.Unmarshal(payload, target) == nil }
