package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/decklever/decklever/api"
)

// Journal writes one line of JSON for each start and end of a handler, for
// programs that compare the runs of several workers. Its times are read from
// CLOCK_MONOTONIC, which all processes of a machine share, so that their
// journals can be merged. Its methods are safe for concurrent use.
type Journal struct {
	file   *os.File
	logger *slog.Logger
}

// JournalEvent is the kind of a JournalLine.
type JournalEvent string

// Journal events.
const (
	JournalStart JournalEvent = "start"
	JournalEnd   JournalEvent = "end"
)

// JournalLine is one line of a journal.
type JournalLine struct {
	// MonoNanos is the time on CLOCK_MONOTONIC, in nanoseconds.
	MonoNanos int64        `json:"mono_ns"`
	Event     JournalEvent `json:"event"`
	api.RunRef
	WorkerID string `json:"worker_id"`
	Worker   string `json:"worker"`
	Token    uint64 `json:"token"`
	// Outcome is empty for JournalStart.
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// OpenJournal opens the journal file for appending and creates it if necessary.
// Errors of later writes are logged to logger.
func OpenJournal(path string, logger *slog.Logger) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return &Journal{file: file, logger: logger}, nil
}

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }

// Start writes the start of a handler; use it as Config.OnStart.
func (j *Journal) Start(event Event) { j.write(JournalStart, event) }

// End writes the end of a handler; use it as Config.OnEnd.
func (j *Journal) End(event Event) { j.write(JournalEnd, event) }

// write appends one line with a single system call, so that the lines of
// concurrent goroutines are not interleaved.
func (j *Journal) write(kind JournalEvent, event Event) {
	now, clockErr := monotonicNow()
	line, encodeErr := json.Marshal(JournalLine{
		MonoNanos: now.Nanoseconds(),
		Event:     kind,
		RunRef:    event.RunRef,
		WorkerID:  event.WorkerID,
		Worker:    event.Worker,
		Token:     event.Token,
		Outcome:   event.Outcome,
	})
	_, writeErr := j.file.Write(append(line, '\n'))
	if err := errors.Join(clockErr, encodeErr, writeErr); err != nil {
		j.logger.Error("write to the run journal failed", slog.String("task", event.Task), slog.Any("error", err))
	}
}

// monotonicNow reads CLOCK_MONOTONIC, which all processes of the machine share.
func monotonicNow() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0, fmt.Errorf("read CLOCK_MONOTONIC: %w", err)
	}
	return time.Duration(now.Nano()), nil
}
