package raftsim

import (
	"fmt"
	"time"
)

// maxTraceEvents is how many events an error shows.
const maxTraceEvents = 150

// traceEvent is one event; what a, b, c mean depends on the action.
type traceEvent struct {
	at      time.Duration
	machine int
	action  string
	a, b, c uint64
}

func (t traceEvent) String() string {
	return fmt.Sprintf("%12v m%d %-18s %d %d %d", t.at, t.machine, t.action, t.a, t.b, t.c)
}

// recordEvent adds an event to the trace and its hash.
func (s *simulation) recordEvent(machine int, action string, a, b, c uint64) {
	event := traceEvent{at: s.now, machine: machine, action: action, a: a, b: b, c: c}
	s.trace[s.report.Events%maxTraceEvents] = event
	s.report.Events++
	hash := s.report.TraceHash
	for _, part := range [...]uint64{uint64(event.at), uint64(machine), hashText(action), a, b, c} {
		hash = mix(hash, part)
	}
	s.report.TraceHash = hash
	if s.options.Trace != nil {
		_, _ = fmt.Fprintln(s.options.Trace, event)
	}
}

func (s *simulation) lastTraceEvents() []string {
	count := min(s.report.Events, maxTraceEvents)
	lines := make([]string, 0, count)
	for i := s.report.Events - count; i < s.report.Events; i++ {
		lines = append(lines, s.trace[i%maxTraceEvents].String())
	}
	return lines
}

// mix is one round of FNV-1a over whole words, with a shift to spread high
// bits.
func mix(hash, part uint64) uint64 {
	hash = (hash ^ part) * 1099511628211
	return hash ^ hash>>29
}

func hashText(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}

func hashBytes(data []byte) uint64 {
	return hashText(string(data))
}
