package datafile

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrCorrupt is wrapped by every CorruptError.
	ErrCorrupt = errors.New("storage: data folder is corrupt")
	// ErrNoSpace is returned by a write that failed because the disk is full. The
	// write has no effect and may be repeated once there is space.
	ErrNoSpace = errors.New("storage: no space left on the disk")
)

// CorruptError reports damage to a file: a checksum that does not match, or
// content that contradicts itself or another file.
type CorruptError struct {
	File string // path of the damaged file
	// Problem says what was found and what was expected instead.
	Problem string
}

// NewCorruptError returns a CorruptError for file, with a formatted Problem.
func NewCorruptError(file, format string, arguments ...any) error {
	return &CorruptError{File: file, Problem: fmt.Sprintf(format, arguments...)}
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrCorrupt, e.File, e.Problem)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// ClassifyWriteError wraps err in ErrNoSpace if it reports a full disk or an
// exceeded quota, and returns any other error unchanged. It must not be called
// with the error of a sync: after a failed sync the content of the file is
// unknown.
func ClassifyWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}
