package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events. Lines with other kinds are skipped.
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
	// Worker is the worker's name, which survives restarts; WorkerID does not.
	Worker string `json:"worker"`
	// Token is the fencing token of the heartbeat answer that assigned the run.
	Token uint64 `json:"token"`
	// Outcome is set on end events.
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// parse parses complete lines. It returns their events and the number of bytes parsed,
// which does not include a last line without a newline. At an invalid line it stops with
// an error; read then includes that line.
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

// parseLine parses one line. It returns false for empty lines and events of other kinds.
// A worker that is killed during a write leaves a partial line, to which its next
// incarnation appends: in that case the event starts at the last '{"' of the line.
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
