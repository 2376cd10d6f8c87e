package telemetry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// PartStatus is one part of a process, as its last SetReady said.
type PartStatus struct {
	Part   string `json:"part"`
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// HealthStatus is the body of /readyz.
type HealthStatus struct {
	Ready bool         `json:"ready"`
	Parts []PartStatus `json:"parts"`
}

// Health collects whether the parts of a process are ready. It is safe for
// use by many goroutines.
type Health struct {
	mutex sync.Mutex
	parts map[string]PartStatus
}

// NewHealth returns a Health without parts, which is not ready.
func NewHealth() *Health {
	return &Health{parts: map[string]PartStatus{}}
}

// SetReady says whether a part is ready, and why not. The first call names
// the part.
func (h *Health) SetReady(part string, ready bool, reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.parts[part] = PartStatus{Part: part, Ready: ready, Reason: reason}
}

// Status returns the parts by name. The process is ready once at least one
// part is named and all named are ready.
func (h *Health) Status() HealthStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	status := HealthStatus{Ready: len(h.parts) > 0, Parts: []PartStatus{}}
	for _, part := range h.parts {
		status.Ready = status.Ready && part.Ready
		status.Parts = append(status.Parts, part)
	}
	slices.SortFunc(status.Parts, func(a, b PartStatus) int { return strings.Compare(a.Part, b.Part) })
	return status
}

// checkInterval is the pause between two looks of Watch. Each wakes the process.
const checkInterval = 500 * time.Millisecond

// Watch calls check, which calls SetReady, again and again until the context
// ends; it returns nil.
func (h *Health) Watch(ctx context.Context, check func()) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			check()
		}
	}
}
