package record

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Errors of Encode and Decode.
var (
	// ErrNoCommand is returned if none of the command's pointers is set.
	ErrNoCommand = errors.New("record: command is empty or unknown")
	// ErrSeveralCommands is returned if more than one of the command's pointers is
	// set.
	ErrSeveralCommands = errors.New("record: command holds more than one change")
	// ErrTimeRange matches every TimeRangeError: a time cannot be written in RFC
	// 3339.
	ErrTimeRange = errors.New("record: time lies outside of the years 0 to 9999")
)

// TimeRangeError reports a time that Encode cannot write in a form that Decode can
// read. It matches ErrTimeRange.
type TimeRangeError struct {
	// Field is the path of the field in the job's specification.
	Field string
	Value time.Time
}

// Error implements error.
func (e *TimeRangeError) Error() string {
	return fmt.Sprintf("%s: %v, got %d", e.Field, ErrTimeRange, e.Value.UTC().Year())
}

// Unwrap returns ErrTimeRange.
func (e *TimeRangeError) Unwrap() error { return ErrTimeRange }

// maxCBORElements is the maximum number of elements of one array or map. The length
// of the input bounds the memory that decoding takes, because the decoder checks
// that an item is well formed before it allocates memory for it.
const maxCBORElements = 1 << 24

// maxYear is the last year that RFC 3339 can represent.
const maxYear = 9999

// encoding is deterministic (RFC 8949, section 4.2): equal values give equal
// bytes on every replica.
var encoding = mustEncoding()

// decoding accepts text that is not valid UTF-8: a committed entry must be readable
// whatever text a worker reported.
var decoding = mustDecoding()

func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxCBORElements,
		MaxMapPairs:      maxCBORElements,
		UTF8:             cbor.UTF8DecodeInvalid,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode writes a command as CBOR. It rejects commands that Decode could not read
// back, with ErrNoCommand, ErrSeveralCommands or a TimeRangeError.
func Encode(command Command) ([]byte, error) {
	if err := command.validate(); err != nil {
		return nil, err
	}
	if command.SubmitJob != nil {
		if err := validateTimes(command.SubmitJob); err != nil {
			return nil, err
		}
	}
	data, err := encoding.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("record: encode command: %w", err)
	}
	return data, nil
}

// Decode reads a command that Encode wrote. Unknown fields are ignored, so that a
// replica can follow a log with fields of newer programs. A command without any
// known change returns ErrNoCommand.
func Decode(data []byte) (Command, error) {
	var command Command
	if err := decoding.Unmarshal(data, &command); err != nil {
		return Command{}, fmt.Errorf("record: decode command: %w", err)
	}
	if err := command.validate(); err != nil {
		return Command{}, err
	}
	return command, nil
}

// validateTimes returns a TimeRangeError for the first time in the job that cannot
// be encoded.
func validateTimes(submit *SubmitJob) error {
	if repeat := submit.Spec.Repeat; repeat != nil && !representable(repeat.First) {
		return &TimeRangeError{Field: "repeat.first", Value: repeat.First}
	}
	for i := range submit.Spec.Steps {
		step := &submit.Spec.Steps[i]
		if step.NotBefore != nil && !representable(*step.NotBefore) {
			return &TimeRangeError{Field: fmt.Sprintf("steps[%d].not_before", i), Value: *step.NotBefore}
		}
	}
	return nil
}

// representable reports whether RFC 3339 can represent a time.
func representable(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 0 && year <= maxYear
}
