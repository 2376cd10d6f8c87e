package record

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Errors of Encode and Decode.
var (
	// ErrNoCommand: none of the command's pointers is set.
	ErrNoCommand = errors.New("record: command is empty or unknown")
	// ErrSeveralCommands: more than one of the command's pointers is set.
	ErrSeveralCommands = errors.New("record: command holds more than one change")
	// ErrTimeRange: a time cannot be written in RFC 3339.
	ErrTimeRange = errors.New("record: time lies outside of the years 0 to 9999")
)

// maxCBORElements bounds arrays and maps of one CBOR item. Memory is bounded by
// the length of the input, as items are checked for shape before decoding.
const maxCBORElements = 1 << 24

// maxYear is the last year that RFC 3339 can write.
const maxYear = 9999

// encoding is deterministic (RFC 8949, section 4.2), so that the same state
// gives the same bytes.
var encoding = mustEncoding()

// decoding lets pass text that is not UTF-8: an entry that was committed must
// be readable whatever text a worker put in it.
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

// Encode writes a command as CBOR. It refuses what Decode could not read.
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

// Decode reads a command that Encode wrote. Unknown fields are ignored, but a
// command without any known change is an error.
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

func validateTimes(submit *SubmitJob) error {
	if repeat := submit.Spec.Repeat; repeat != nil && !representable(repeat.First) {
		return fmt.Errorf("first occurrence: %w", ErrTimeRange)
	}
	for i := range submit.Spec.Steps {
		step := &submit.Spec.Steps[i]
		if step.NotBefore != nil && !representable(*step.NotBefore) {
			return fmt.Errorf("step %q: %w", step.Name, ErrTimeRange)
		}
	}
	return nil
}

func representable(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 0 && year <= maxYear
}
