package api

import (
	"cmp"
	"fmt"
	"regexp"
	"unicode/utf8"
)

// MaxFieldErrors bounds the wrong fields that one refusal lists, so that a
// hostile body does not make a much larger answer. A last entry without a
// field says how many more there are.
const MaxFieldErrors = 256

// maxValueLength bounds the value in a FieldError, in characters.
const maxValueLength = 64

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	queuePattern = regexp.MustCompile(`^[a-z0-9._-]{1,64}$`)
	zonePattern  = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// ValidJobID reports whether the id has the form that a job id must have.
func ValidJobID(id string) bool { return namePattern.MatchString(id) }

// ValidZone reports whether the name has the form that a zone's must have.
func ValidZone(name string) bool { return zonePattern.MatchString(name) }

// fieldErrors collects wrong fields.
type fieldErrors struct {
	list    []FieldError
	skipped int
}

// add notes a wrong field; the value is shortened.
func (f *fieldErrors) add(field string, value any, expected string) {
	if len(f.list) >= MaxFieldErrors {
		f.skipped++
		return
	}
	f.list = append(f.list, FieldError{Field: field, Value: shorten(fmt.Sprint(value)), Expected: expected})
}

// all returns what was noted; nil if nothing was.
func (f *fieldErrors) all() []FieldError {
	if f.skipped == 0 {
		return f.list
	}
	more := FieldError{Expected: fmt.Sprintf("%d more wrong fields to be mended that are not listed", f.skipped)}
	return append(f.list, more)
}

// checkRange notes a value outside of low to high, both included.
func checkRange[T cmp.Ordered](f *fieldErrors, field string, value, low, high T) {
	if value < low || value > high {
		f.add(field, value, fmt.Sprintf("%v to %v", low, high))
	}
}

// checkAtLeast notes a value below low.
func checkAtLeast[T cmp.Ordered](f *fieldErrors, field string, value, low T) {
	if value < low {
		f.add(field, value, fmt.Sprintf("at least %v", low))
	}
}

// shorten cuts a text to maxValueLength characters.
func shorten(text string) string {
	if utf8.RuneCountInString(text) <= maxValueLength {
		return text
	}
	runes := []rune(text)
	return string(runes[:maxValueLength-1]) + "…"
}
