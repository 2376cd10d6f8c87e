// Package preferredlabels records which worker labels tasks have preferred recently,
// so that other tasks can leave a reserve on workers with those labels.
//
// A Set owns its labels and reads no clock: the caller passes the cluster time. It is
// not safe for concurrent use.
package preferredlabels

import (
	"maps"

	"github.com/decklever/decklever/internal/record"
)

const (
	// TTL is how long a label counts as preferred after a task last preferred it.
	TTL = record.Millis(60_000)
	// Max bounds the labels in a Set; further labels are ignored.
	Max = 1024
)

// label is the key and value of a worker label.
type label struct{ key, value string }

// Set holds the labels that tasks have preferred recently.
type Set struct {
	expiresAt map[label]record.Millis
	// nextExpiry is the cluster time of the next search for expired labels, TTL/2 after the
	// last one.
	nextExpiry record.Millis
	// changed is set if labels were added or dropped since the last Refresh.
	changed bool
}

// New returns an empty Set.
func New() *Set { return &Set{expiresAt: map[label]record.Millis{}} }

// Len returns the number of labels in the Set.
func (s *Set) Len() int { return len(s.expiresAt) }

// Record adds the labels that a task prefers at cluster time now, or extends their time.
func (s *Set) Record(preferred map[string]string, now record.Millis) {
	for key, value := range preferred {
		current := label{key, value}
		if _, known := s.expiresAt[current]; !known {
			if len(s.expiresAt) >= Max {
				continue
			}
			s.changed = true
		}
		s.expiresAt[current] = now + TTL
	}
}

// Refresh drops expired labels, and reports whether labels were added or dropped since it
// was last called. It searches for expired labels only once every TTL/2.
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
	before := len(s.expiresAt)
	maps.DeleteFunc(s.expiresAt, func(_ label, expiry record.Millis) bool { return expiry <= now })
	s.changed = s.changed || len(s.expiresAt) < before
	s.nextExpiry = now + TTL/2
}

// Matches reports whether one of a worker's labels is preferred.
func (s *Set) Matches(labels map[string]string) bool {
	for key, value := range labels {
		if _, preferred := s.expiresAt[label{key, value}]; preferred {
			return true
		}
	}
	return false
}
