package raftsim

import (
	"fmt"
	"time"
)

// maxTraceEvents is the number of events that a ViolationError contains.
const maxTraceEvents = 150

// traceEvent is one event of the trace. The meaning of a, b and c depends on the
// action (see the calls of recordEvent).
type traceEvent struct {
	at      time.Duration
	machine int
	action  string
	a, b, c uint64
}

func (t traceEvent) String() string {
	return fmt.Sprintf("%12v m%d %-18s %d %d %d", t.at, t.machine, t.action, t.a, t.b, t.c)
}

// recordEvent adds an event to the trace, to the trace hash and, if set, to
// Options.Trace.
func (s *simulation) recordEvent(machine int, action string, a, b, c uint64) {
	event := traceEvent{at: s.now, machine: machine, action: action, a: a, b: b, c: c}
	s.trace[s.report.Events%maxTraceEvents] = event
	s.report.Events++
	hash := s.report.TraceHash
	for _, word := range [...]uint64{uint64(event.at), uint64(machine), hashString(action), a, b, c} {
		hash = mixHash(hash, word)
	}
	s.report.TraceHash = hash
	if s.options.Trace != nil {
		_, _ = fmt.Fprintln(s.options.Trace, event)
	}
}

// lastTraceEvents returns the events in the ring buffer as text, oldest first.
func (s *simulation) lastTraceEvents() []string {
	count := min(s.report.Events, maxTraceEvents)
	lines := make([]string, 0, count)
	for i := s.report.Events - count; i < s.report.Events; i++ {
		lines = append(lines, s.trace[i%maxTraceEvents].String())
	}
	return lines
}

// mixHash adds a word to a hash: one round of FNV-1a over 64 bits instead of a byte,
// with a shift that spreads the high bits.
func mixHash(hash, word uint64) uint64 {
	hash = (hash ^ word) * 1099511628211
	return hash ^ hash>>29
}

// hashString returns the 64-bit FNV-1a hash of a text.
func hashString(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}

func hashBytes(data []byte) uint64 {
	return hashString(string(data))
}
