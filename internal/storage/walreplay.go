package storage

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
)

// replay reads a log from its files.
type replay struct {
	files     fileSystem
	directory string
	logger    *slog.Logger

	id       raft.ReplicaID
	state    walState
	entries  []raft.Entry
	segments []segment
	// next is the sequence of the record that follows.
	next uint64
	// closedCleanly: the newest record is a mark of closing.
	closedCleanly bool
	// tail is what is wrong behind the end of the newest segment; nil if
	// nothing is.
	tail *tornTail
	// end is where the newest segment is to be written on.
	end int64
	// obsolete are segments that are not needed; torn is a newest one that
	// was being made, 0 if there is none.
	obsolete   []uint64
	unfinished uint64
}

// tornTail is the place of unsynced bytes that do not check.
type tornTail struct {
	start, end int64
}

func (r *replay) path(number uint64) string {
	return filepath.Join(r.directory, segmentName(number))
}

// readAll reads everything and changes nothing. numbers are not empty.
func (r *replay) readAll(numbers []uint64) error {
	newest, err := r.findNewest(numbers)
	if err != nil {
		return err
	}
	if r.obsolete, err = r.checkNeeded(newest.numbers, newest.oldestNeeded, newest.number()); err != nil {
		return err
	}
	for number := newest.oldestNeeded; number < newest.number(); number++ {
		older, err := readSegment(r.files, r.directory, number)
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
		return corrupt(r.path(r.unfinished), "does not start with a whole segment header, though it was synced")
	}
	return nil
}

// newestSegment is the newest segment with a whole header.
type newestSegment struct {
	// numbers are its own, which is the last, and those of all older ones.
	numbers []uint64
	content []byte
	// firstNeeded is the oldest segment that is still needed.
	oldestNeeded uint64
	// unfinished is what there is of the segment after it, if that one was being
	// made when the power failed.
	unfinished []byte
}

func (s newestSegment) number() uint64 { return s.numbers[len(s.numbers)-1] }

// findNewest finds the newest segment with a whole header. A newer one was being
// made when the power failed: this one is whole then, and shows later whether
// that one was ever synced.
func (r *replay) findNewest(numbers []uint64) (newestSegment, error) {
	newest, whole, err := r.readHeader(numbers)
	if err != nil || whole {
		return newest, err
	}
	older := numbers[:len(numbers)-1]
	if len(older) == 0 || older[len(older)-1] != newest.number()-1 {
		return newest, r.errMissingHeader(newest.number())
	}
	r.unfinished = newest.number()
	unfinished := newest.content
	newest, whole, err = r.readHeader(older)
	if err == nil && !whole {
		err = r.errMissingHeader(newest.number())
	}
	newest.unfinished = unfinished
	return newest, err
}

// readHeader reads the last of the segments; whole tells whether its header is.
func (r *replay) readHeader(numbers []uint64) (last newestSegment, whole bool, err error) {
	last.numbers = numbers
	if last.content, err = readSegment(r.files, r.directory, last.number()); err != nil {
		return last, false, err
	}
	last.oldestNeeded, whole = oldestNeededSegment(last.content)
	return last, whole, nil
}

func (r *replay) errMissingHeader(number uint64) error {
	return corrupt(r.path(number), "does not start with a whole segment header")
}

// checkNeeded returns the segments before first, and refuses a gap from there on.
func (r *replay) checkNeeded(numbers []uint64, first, newest uint64) (obsolete []uint64, err error) {
	for number := first; number <= newest; number++ {
		if !slices.Contains(numbers, number) {
			return nil, corrupt(r.path(number), "missing")
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
		return corrupt(r.path(number), "record %d at offset %d does not check", result.bad, result.end)
	}
	return nil
}

// readNewest cuts what was not synced, and refuses anything else that is bad.
func (r *replay) readNewest(number uint64, content []byte) error {
	result, err := r.read(number, content)
	if err != nil {
		return err
	}
	rest := content[result.end:]
	if !allZero(rest) {
		if provesSynced(rest, result.bad) {
			return corrupt(r.path(number), "record %d, in the batch at offset %d, does not check, though it was synced", result.bad, result.end)
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

func (r *replay) read(number uint64, content []byte) (scanResult, error) {
	r.segments = append(r.segments, segment{number: number, size: int64(len(content))})
	opened := false
	result, err := scanBatches(content, r.next, func(batch []walRecord) error {
		for i, record := range batch {
			// The header stands first, and nowhere else.
			if (record.Type == recordTypeSegment) == (opened || i > 0) {
				return corrupt(r.path(number), "record %d of type %d is out of place", record.Sequence, record.Type)
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
		return result, corrupt(r.path(number), "does not start with segment header %d", r.next)
	}
	r.next = result.next
	return result, nil
}

func (r *replay) apply(number uint64, content []byte, record walRecord) error {
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
		var snapshot snapshotRecord
		if ok = decodeInto(record.Payload, &snapshot); ok {
			r.state.applySnapshot(snapshot)
			r.discardBefore(snapshot)
		}
	case recordTypeClosed:
	}
	if !ok {
		return corrupt(r.path(number), "record %d of type %d cannot be decoded", record.Sequence, record.Type)
	}
	return nil
}

// openSegment checks the header against what the records before it say.
func (r *replay) openSegment(number uint64, content []byte, record walRecord) error {
	var header segmentHeader
	if !decodeInto(record.Payload, &header) {
		return corrupt(r.path(number), "segment header cannot be decoded")
	}
	if header.Segment != number {
		return corrupt(r.path(number), "is segment %d by its header", header.Segment)
	}
	if header.Size != int64(len(content)) {
		return corrupt(r.path(number), "is %d bytes long, expected %d", len(content), header.Size)
	}
	if len(r.segments) > 1 && (header.State != r.state || header.ReplicaID != r.id) {
		return corrupt(r.path(number), "does not go on from segment %d", number-1)
	}
	r.id, r.state = header.ReplicaID, header.State
	return nil
}

// addEntry puts an entry in place of all from its index on.
func (r *replay) addEntry(entry raft.Entry) {
	newest := &r.segments[len(r.segments)-1]
	newest.last = max(newest.last, entry.Index)
	r.state.LastIndex = entry.Index
	for n := len(r.entries); n > 0 && r.entries[n-1].Index >= entry.Index; n-- {
		r.entries = r.entries[:n-1]
	}
	if entry.Index >= r.state.FirstIndex {
		r.entries = append(r.entries, entry)
	}
}

func (r *replay) discardBefore(snapshot snapshotRecord) {
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
func (r *replay) repair(newest dataFile) error {
	if r.tail != nil {
		r.logger.Warn("torn end of the log cut", "file", r.path(r.segments[len(r.segments)-1].number),
			"offset", r.tail.start, "bytes", r.tail.end-r.tail.start)
		if err := writeZeros(newest, r.tail.start, r.tail.end); err != nil {
			return fmt.Errorf("cut torn end: %w", err)
		}
	}
	if err := newest.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	remove := r.obsolete
	if r.unfinished != 0 {
		r.logger.Warn("unfinished segment removed", "file", r.path(r.unfinished))
		remove = append(remove, r.unfinished)
	}
	for _, number := range remove {
		if err := r.files.Remove(r.path(number)); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
	}
	return r.files.SyncDirectory(r.directory)
}

// writeZeros overwrites a range; its length stays.
func writeZeros(file dataFile, start, end int64) error {
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
