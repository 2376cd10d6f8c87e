package calllog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
)

// Log is an append-only list of entries. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	entries []Entry
	file    *os.File
	writer  *bufio.Writer
	// writeErr is the first failed write; no entry is written after it.
	writeErr error
}

// Open returns a log that is also written to a new file at path. With an empty path it
// is held in memory only.
func Open(path string) (*Log, error) {
	if path == "" {
		return &Log{}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create call log: %w", err)
	}
	return &Log{file: file, writer: bufio.NewWriter(file)}, nil
}

// Add appends an entry. Close returns the error if writing it to the file fails.
func (l *Log) Add(entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = append(l.entries, entry)
	if l.writer == nil || l.writeErr != nil {
		return
	}
	if err := json.NewEncoder(l.writer).Encode(entry); err != nil {
		l.writeErr = fmt.Errorf("write call log: %w", err)
	}
}

// Entries returns all entries in the order in which they were added.
func (l *Log) Entries() []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.entries)
}

// Close flushes and closes the file. Its error includes that of a failed write in Add. A
// second call does nothing.
func (l *Log) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.writer == nil {
		return nil
	}
	err := errors.Join(l.writeErr, l.writer.Flush(), l.file.Close())
	l.writer, l.file = nil, nil
	return err
}
