package settings

import (
	"errors"
	"fmt"
	"strings"
)

// ErrUsage is wrapped by every error about invalid settings or flags.
var ErrUsage = errors.New("wrong settings or usage")

// Problem describes one invalid key.
type Problem struct {
	// Key is the key with its section, such as "timing.lease".
	Key string
	// Value is the given value, truncated.
	Value string
	// Expected describes the valid values.
	Expected string
}

// String returns `key "value": expected ...` on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: expected %s", p.Key, p.Value, p.Expected)
}

// Error lists every invalid key on one line. errors.Is matches it with ErrUsage.
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

// errorOf returns an *Error with the problems, or nil if there is none.
func errorOf(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems}
}

// maxValueBytes bounds the part of a value that is shown, in bytes.
const maxValueBytes = 80

func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

// oneLine returns the text of a library's error with each run of white space replaced by one space.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
