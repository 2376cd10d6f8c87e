// Package preferredlabels remembers which labels of workers tasks have preferred
// lately, so that others can leave those workers a reserve.
//
// A Set owns its labels alone. It reads no clock: the cluster time is an argument.
// It is not safe for concurrent use.
package preferredlabels

import (
	"maps"

	"github.com/decklever/decklever/internal/record"
)

const (
	// TTL is how long a label counts as preferred after the newest task that
	// preferred it came.
	TTL = record.Millis(60_000)
	// Max bounds the labels that a Set remembers; more are ignored.
	Max = 1024
)

// label is one label of a worker with its value.
type label struct{ key, value string }

// Set holds the labels that tasks have preferred lately.
type Set struct {
	until map[label]record.Millis
	// nextExpiry is the time before which no label is dropped: expired labels are
	// looked for every half TTL, not on each call.
	nextExpiry record.Millis
	// changed is set while labels came or went since the last Refresh.
	changed bool
}

// New returns an empty Set.
func New() *Set { return &Set{until: map[label]record.Millis{}} }

// Len is the number of labels remembered.
func (s *Set) Len() int { return len(s.until) }

// Record takes in the labels that a task prefers at the time now.
func (s *Set) Record(preferred map[string]string, now record.Millis) {
	for key, value := range preferred {
		wanted := label{key, value}
		if _, known := s.until[wanted]; !known {
			if len(s.until) >= Max {
				continue
			}
			s.changed = true
		}
		s.until[wanted] = now + TTL
	}
}

// Refresh drops the labels that no task has preferred for TTL, and reports whether
// labels came or went since it was last called.
func (s *Set) Refresh(now record.Millis) bool {
	s.expire(now)
	changed := s.changed
	s.changed = false
	return changed
}

func (s *Set) expire(now record.Millis) {
	if now < s.nextExpiry {
		return
	}
	known := len(s.until)
	maps.DeleteFunc(s.until, func(_ label, until record.Millis) bool { return until <= now })
	s.changed = s.changed || len(s.until) < known
	s.nextExpiry = now + TTL/2
}

// Matches reports whether one of a worker's labels is preferred.
func (s *Set) Matches(labels map[string]string) bool {
	for key, value := range labels {
		if _, preferred := s.until[label{key, value}]; preferred {
			return true
		}
	}
	return false
}
