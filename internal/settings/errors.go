package settings

import (
	"errors"
	"fmt"
	"strings"
)

// ErrUsage is what every error about wrong settings or flags wraps.
var ErrUsage = errors.New("wrong settings or usage")

// Problem is one wrong key.
type Problem struct {
	// Key is the key with its section, such as "timing.lease".
	Key string
	// Value is what was given, shortened.
	Value string
	// Expected says what would be right.
	Expected string
}

// String returns `key "value": expected ...` on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: expected %s", p.Key, p.Value, p.Expected)
}

// Error lists every wrong key on one line. It matches ErrUsage.
type Error struct {
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}

// Unwrap makes errors.Is match ErrUsage.
func (e *Error) Unwrap() error { return ErrUsage }

// errorOf returns nil if there is no problem.
func errorOf(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems}
}

// maxShownBytes bounds how much of a wrong value is shown.
const maxShownBytes = 80

func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownBytes], "") + "..."
}

// oneLine makes a library's error fit on the one line.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
