package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Kind is what an event records.
type Kind string

// Events. Lines with other events are skipped.
const (
	KindStart Kind = "start"
	KindEnd   Kind = "end"
)

// Event is one line of a worker's event log.
type Event struct {
	Mono monoclock.Nanos `json:"mono_ns"`
	Kind Kind            `json:"event"`
	// Task is "JOB/STEP/INDEX".
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	WorkerID string `json:"worker_id"`
	// Worker is the worker's name, the same over restarts.
	Worker string `json:"worker"`
	// Token is the fencing token of the answer that assigned the run.
	Token uint64 `json:"token"`
	// Outcome is set on end events.
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// parse reads complete lines. It returns their events and the number of bytes that it
// read; a last line without its newline is left for the next call.
func parse(data []byte) (events []Event, read int, err error) {
	for {
		end := bytes.IndexByte(data[read:], '\n')
		if end < 0 {
			return events, read, nil
		}
		text := data[read : read+end]
		read += end + 1
		event, ok, err := parseLine(text)
		if err != nil {
			return events, read, err
		}
		if ok {
			events = append(events, event)
		}
	}
}

// parseLine reads one line; it reports false for events of other kinds. A worker that
// was killed while it wrote leaves a partial line, to which its next incarnation
// appends: then only what follows the last opening of an object is an event.
func parseLine(text []byte) (Event, bool, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return Event{}, false, nil
	}
	var event Event
	err := json.Unmarshal(text, &event)
	if err != nil {
		object := bytes.LastIndex(text, []byte(`{"`))
		if object <= 0 || json.Unmarshal(text[object:], &event) != nil {
			return Event{}, false, fmt.Errorf("line %q: %w", text, err)
		}
	}
	return event, event.Kind == KindStart || event.Kind == KindEnd, nil
}
