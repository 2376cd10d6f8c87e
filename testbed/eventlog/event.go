package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Kind is what a line tells.
type Kind string

// Events. Lines with other events are skipped.
const (
	KindStart Kind = "start"
	KindEnd   Kind = "end"
)

// Event is one line of a worker's journal.
type Event struct {
	Mono monoclock.Nanos `json:"mono_ns"`
	Kind Kind            `json:"event"`
	// Task is "JOB/STEP/INDEX".
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	WorkerID string `json:"worker_id"`
	// Worker is the worker's name, the same over restarts.
	Worker string `json:"worker"`
	// Token is the token of the answer that ordered the start.
	Token uint64 `json:"token"`
	// Outcome stands on end lines.
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// parse reads whole lines. It returns the lines and the number of bytes that
// it read; a last line without its newline is left for the next call.
func parse(data []byte) (events []Event, read int, err error) {
	for {
		end := bytes.IndexByte(data[read:], '\n')
		if end < 0 {
			return events, read, nil
		}
		text := data[read : read+end]
		read += end + 1
		line, ok, err := parseLine(text)
		if err != nil {
			return events, read, err
		}
		if ok {
			events = append(events, line)
		}
	}
}

// parseLine reads one line. A worker that was killed while it wrote leaves
// half a line, to which its next life appends: then only what follows the last
// opening of an object is a line.
func parseLine(text []byte) (Event, bool, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return Event{}, false, nil
	}
	var line Event
	err := json.Unmarshal(text, &line)
	if err != nil {
		complete := bytes.LastIndex(text, []byte(`{"`))
		if complete <= 0 || json.Unmarshal(text[complete:], &line) != nil {
			return Event{}, false, fmt.Errorf("journal line %q: %w", text, err)
		}
	}
	return line, line.Kind == KindStart || line.Kind == KindEnd, nil
}
