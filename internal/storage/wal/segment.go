package wal

import (
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/decklever/decklever/internal/storage/datafile"
)

const (
	// segmentPrefix and segmentSuffix enclose the number, in hex digits.
	segmentPrefix = "log-"
	segmentSuffix = ".wal"
	segmentDigits = 16
	// FirstSegment is the number of a new log's segment.
	FirstSegment = 1
)

// segment is one file of the log.
type segment struct {
	number uint64
	// size is the length of the file, in bytes.
	size int64
	// last is the highest index of an entry in it, whether or not it was
	// replaced since.
	last uint64
}

// SegmentName returns the file name of a segment.
func SegmentName(number uint64) string {
	return fmt.Sprintf("%s%0*x%s", segmentPrefix, segmentDigits, number, segmentSuffix)
}

// segmentNumber returns the number in a file's name; ok is false for other files.
func segmentNumber(name string) (number uint64, ok bool) {
	digits, found := strings.CutPrefix(name, segmentPrefix)
	if !found {
		return 0, false
	}
	if digits, found = strings.CutSuffix(digits, segmentSuffix); !found || len(digits) != segmentDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && SegmentName(number) == name
}

// SegmentNumbers lists the segments of a directory, oldest first.
func SegmentNumbers(files datafile.FileSystem, directory string) ([]uint64, error) {
	names, err := files.Names(directory)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var numbers []uint64
	for _, name := range names { // in the order of names, and so of numbers
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

// readSegment reads a whole segment.
func readSegment(files datafile.FileSystem, directory string, number uint64) (content []byte, err error) {
	path := filepath.Join(directory, SegmentName(number))
	file, err := files.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open segment: %w", err)
	}
	defer func() { _ = file.Close() }()
	size, err := file.Size()
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	content = make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(file, 0, size), content); err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return content, nil
}

// scanResult says how far a segment is valid.
type scanResult struct {
	// end is the offset behind the last complete batch, next the sequence that
	// has to follow there.
	end  int
	next uint64
	// bad is the sequence of the first invalid record.
	bad uint64
}

// scanBatches visits the complete batches of a segment up to the first invalid
// record. The first record must have the sequence, unless that is 0.
func scanBatches(content []byte, sequence uint64, visit func(batch []logRecord) error) (scanResult, error) {
	if sequence == 0 && len(content) >= recordHeaderSize {
		sequence = binary.BigEndian.Uint64(content[8:])
	}
	result := scanResult{next: sequence, bad: sequence}
	var batch []logRecord
	for at := 0; ; {
		record, size, ok := nextRecord(content[at:], result.bad)
		if !ok {
			return result, nil
		}
		at += size
		result.bad++
		batch = append(batch, record)
		if !record.End {
			continue
		}
		if err := visit(batch); err != nil {
			return result, err
		}
		result.end, result.next = at, result.bad
		batch = batch[:0]
	}
}

// oldestNeededSegment returns the oldest segment that a segment says must be
// there; ok is false if it does not open with a complete header.
func oldestNeededSegment(content []byte) (number uint64, ok bool) {
	_, _ = scanBatches(content, 0, func(batch []logRecord) error {
		for _, record := range batch {
			switch record.Type {
			case recordTypeSegment:
				var header segmentHeader
				if decodeInto(record.Payload, &header) {
					number, ok = header.State.FirstSegment, true
				}
			case recordTypeSnapshot:
				var snapshot SnapshotRecord
				if decodeInto(record.Payload, &snapshot) {
					number = snapshot.FirstSegment
				}
			default:
			}
		}
		return nil
	})
	return number, ok
}

// allZero reports whether nothing was written.
func allZero(content []byte) bool {
	for _, b := range content {
		if b != 0 {
			return false
		}
	}
	return true
}
