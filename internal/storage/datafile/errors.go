package datafile

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrCorrupt is what every CorruptError wraps.
	ErrCorrupt = errors.New("storage: data folder is corrupt")
	// ErrNoSpace is returned by a write that a full disk rejected. Nothing of it
	// counts, and the same may be written again once there is space.
	ErrNoSpace = errors.New("storage: no room on the disk")
)

// CorruptError reports damage to a file: a checksum that does not match, or
// content that contradicts itself or another file.
type CorruptError struct {
	File string
	// Problem says what was found, and what was expected in its place.
	Problem string
}

// Corrupt returns a CorruptError.
func Corrupt(file, format string, arguments ...any) error {
	return &CorruptError{File: file, Problem: fmt.Sprintf(format, arguments...)}
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrCorrupt, e.File, e.Problem)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// ClassifyWriteError adds ErrNoSpace to the error of a write that a full disk
// rejected. It must not be given the error of a sync: what the file holds is
// unknown then.
func ClassifyWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return err
}
