package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. Times are seconds since its
// creation.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) seconds() float64 { return time.Since(r.started).Seconds() }

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, values...))
}
