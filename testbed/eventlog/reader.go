package eventlog

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/monoclock"
)

// Suffix is the file name extension of event logs.
const Suffix = ".journal"

const pollInterval = 100 * time.Millisecond

// Reader reads all event logs of a folder as they grow. It is safe for concurrent use.
type Reader struct {
	directory string

	mutex sync.Mutex
	// offsets are the numbers of bytes parsed so far, by path.
	offsets map[string]int64
	events  []Event
	errors  []error
}

// NewReader returns a reader of the files in directory that end in Suffix.
func NewReader(directory string) *Reader {
	return &Reader{directory: directory, offsets: map[string]int64{}}
}

// Follow polls the files every 100 ms until the context ends.
func (r *Reader) Follow(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.Poll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the lines appended to the files since the last poll. Failures are returned
// by Errors.
func (r *Reader) Poll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	paths, err := filepath.Glob(filepath.Join(r.directory, "*"+Suffix))
	if err != nil {
		r.errors = append(r.errors, fmt.Errorf("list event logs: %w", err))
		return
	}
	for _, path := range paths {
		if err := r.pollFile(path); err != nil {
			r.errors = append(r.errors, err)
		}
	}
}

func (r *Reader) pollFile(path string) error {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("open event log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(r.offsets[path], io.SeekStart); err != nil {
		return fmt.Errorf("seek in event log %s: %w", path, err)
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return fmt.Errorf("read event log %s: %w", path, err)
	}
	return r.consume(path, data)
}

// consume parses all complete lines of data, which begins at the offset of path. It skips
// invalid lines and returns their errors.
func (r *Reader) consume(path string, data []byte) error {
	var failures []error
	for {
		events, read, err := parse(data)
		r.events = append(r.events, events...)
		r.offsets[path] += int64(read)
		data = data[read:]
		if err == nil {
			return errors.Join(failures...)
		}
		failures = append(failures, fmt.Errorf("%s: %w", filepath.Base(path), err))
	}
}

// Events returns all events read so far, ordered by Sort.
func (r *Reader) Events() []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := slices.Clone(r.events)
	Sort(events)
	return events
}

// Errors returns the errors of all polls so far.
func (r *Reader) Errors() []error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.errors)
}

// Counts returns the number of starts and ends read so far.
func (r *Reader) Counts() (starts, ends int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range r.events {
		if event.Kind == KindStart {
			starts++
		} else {
			ends++
		}
	}
	return starts, ends
}

// Sort orders events by time. At equal times, ends come first, because they release
// resources that a start may use.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Mono, b.Mono), cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)))
	})
}

func kindOrder(kind Kind) int {
	if kind == KindEnd {
		return 0
	}
	return 1
}

// Run is one run of a task as its worker logged it.
type Run struct {
	Event
	// End is the time of the end event; 0 if there is none.
	End monoclock.Nanos
}

// Runs pairs each start with its end and returns the runs in the order of their starts.
// The events must be sorted; an end without a start is ignored.
func Runs(events []Event) []Run {
	type key struct {
		task     string
		run      uint32
		workerID string
	}
	var runs []Run
	open := map[key]int{}
	for _, event := range events {
		id := key{event.Task, event.Run, event.WorkerID}
		if event.Kind == KindStart {
			open[id] = len(runs)
			runs = append(runs, Run{Event: event})
			continue
		}
		index, found := open[id]
		if !found {
			continue
		}
		runs[index].End = event.Mono
		runs[index].Outcome = event.Outcome
		delete(open, id)
	}
	return runs
}
