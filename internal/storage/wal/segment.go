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
	// segmentPrefix and segmentSuffix enclose the segment number in a file name. It
	// has segmentDigits lower-case hex digits.
	segmentPrefix = "log-"
	segmentSuffix = ".wal"
	segmentDigits = 16
	// FirstSegment is the number of the first segment of a new log.
	FirstSegment = 1
)

// segment is one file of the log.
type segment struct {
	number uint64
	// size is the length of the file, in bytes.
	size int64
	// lastIndex is the highest index of an entry in the segment, including entries
	// that were replaced later; 0 if there are none.
	lastIndex uint64
}

// SegmentName returns the file name of a segment.
func SegmentName(number uint64) string {
	return fmt.Sprintf("%s%0*x%s", segmentPrefix, segmentDigits, number, segmentSuffix)
}

// segmentNumber returns the segment number in a file name; ok is false if the name
// is not that of a segment.
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

// SegmentNumbers returns the numbers of the segments in a directory, oldest first.
func SegmentNumbers(files datafile.FileSystem, directory string) ([]uint64, error) {
	names, err := files.Names(directory)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var numbers []uint64
	for _, name := range names { // sorted by name, which is also the order of the numbers
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

// readSegment returns the complete content of a segment.
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

// scanResult describes the valid part of a segment.
type scanResult struct {
	// endOffset is the end of the last complete batch; nextSequence is the sequence
	// of the record that must follow there.
	endOffset    int
	nextSequence uint64
	// invalidSequence is the sequence of the first invalid record.
	invalidSequence uint64
}

// scanBatches calls visit for each complete batch of a segment up to the first
// invalid record. The first record must have the given sequence; 0 accepts any. The
// batch is valid only during the call.
func scanBatches(content []byte, sequence uint64, visit func(batch []logRecord) error) (scanResult, error) {
	if sequence == 0 && len(content) >= recordHeaderSize {
		sequence = binary.BigEndian.Uint64(content[8:])
	}
	result := scanResult{nextSequence: sequence, invalidSequence: sequence}
	var batch []logRecord
	for offset := 0; ; {
		record, size, ok := nextRecord(content[offset:], result.invalidSequence)
		if !ok {
			return result, nil
		}
		offset += size
		result.invalidSequence++
		batch = append(batch, record)
		if !record.EndOfBatch {
			continue
		}
		if err := visit(batch); err != nil {
			return result, err
		}
		result.endOffset, result.nextSequence = offset, result.invalidSequence
		batch = batch[:0]
	}
}

// oldestNeededSegment returns the number of the oldest segment that is still needed,
// according to the header and the last snapshot record in content; ok is false if
// there is no complete header.
func oldestNeededSegment(content []byte) (number uint64, ok bool) {
	_, _ = scanBatches(content, 0, func(batch []logRecord) error {
		for _, record := range batch {
			switch record.Type {
			case recordTypeSegment:
				var header segmentHeader
				if decodeCBOR(record.Payload, &header) {
					number, ok = header.State.FirstSegment, true
				}
			case recordTypeSnapshot:
				var snapshot SnapshotRecord
				if decodeCBOR(record.Payload, &snapshot) {
					number = snapshot.FirstSegment
				}
			default:
			}
		}
		return nil
	})
	return number, ok
}

// allZero reports whether content has only zeros, as a range that was never written.
func allZero(content []byte) bool {
	for _, b := range content {
		if b != 0 {
			return false
		}
	}
	return true
}
