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

// Suffix ends the name of each journal file in a folder.
const Suffix = ".journal"

const pollInterval = 100 * time.Millisecond

// Reader follows all journals of a folder.
type Reader struct {
	directory string

	mutex   sync.Mutex
	offsets map[string]int64
	events  []Event
	errors  []error
}

// NewReader returns a reader of the files in directory that end in Suffix.
func NewReader(directory string) *Reader {
	return &Reader{directory: directory, offsets: map[string]int64{}}
}

// Follow polls the files until the context ends.
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

// Poll reads what the files have gained.
func (r *Reader) Poll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	paths, err := filepath.Glob(filepath.Join(r.directory, "*"+Suffix))
	if err != nil {
		r.errors = append(r.errors, fmt.Errorf("list journals: %w", err))
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
		return fmt.Errorf("open journal: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(r.offsets[path], io.SeekStart); err != nil {
		return fmt.Errorf("seek in journal %s: %w", path, err)
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return fmt.Errorf("read journal %s: %w", path, err)
	}
	return r.consume(path, data)
}

// consume reads all whole lines of data. A line that cannot be read is reported
// and skipped; those behind it are still read.
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

// Events returns all lines read so far, in the order of their times.
func (r *Reader) Events() []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := slices.Clone(r.events)
	Sort(events)
	return events
}

// Errors returns what could not be read.
func (r *Reader) Errors() []error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.errors)
}

// Counts returns the number of starts and ends read so far.
func (r *Reader) Counts() (starts, ends int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, line := range r.events {
		if line.Kind == KindStart {
			starts++
		} else {
			ends++
		}
	}
	return starts, ends
}

// Sort orders lines by time; of equal times, ends go first, because they free
// what a start may take.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Mono, b.Mono), cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)))
	})
}

func kindOrder(event Kind) int {
	if event == KindEnd {
		return 0
	}
	return 1
}

// Run is one run of a task as its worker journalled it.
type Run struct {
	Event
	// End is the time of the end line; 0 if there is none.
	End monoclock.Nanos
}

// Runs pairs starts with their ends, in the order of the starts.
func Runs(events []Event) []Run {
	type key struct {
		task     string
		run      uint32
		workerID string
	}
	var runs []Run
	open := map[key]int{}
	for _, line := range events {
		id := key{line.Task, line.Run, line.WorkerID}
		if line.Kind == KindStart {
			open[id] = len(runs)
			runs = append(runs, Run{Event: line})
			continue
		}
		index, found := open[id]
		if !found {
			continue
		}
		runs[index].End = line.Mono
		runs[index].Outcome = line.Outcome
		delete(open, id)
	}
	return runs
}
