package telemetry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// PartStatus is the readiness of one part of a process, as set by the last call of SetReady.
type PartStatus struct {
	Part   string `json:"part"`
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// HealthStatus is the readiness of a process, and the body of a response to /readyz.
type HealthStatus struct {
	Ready bool         `json:"ready"`
	Parts []PartStatus `json:"parts"`
}

// Health collects the readiness of the parts of a process. It is safe for concurrent use.
type Health struct {
	mutex sync.Mutex
	parts map[string]PartStatus
}

// NewHealth returns a Health without parts, which reports the process as not ready.
func NewHealth() *Health {
	return &Health{parts: map[string]PartStatus{}}
}

// SetReady sets whether a part is ready, and the reason if it is not. The first call for a
// part adds it.
func (h *Health) SetReady(part string, ready bool, reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.parts[part] = PartStatus{Part: part, Ready: ready, Reason: reason}
}

// Status returns the readiness of the process and of its parts, sorted by name. The process is
// ready if it has at least one part and all its parts are ready.
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

// checkInterval is the time between two checks of Watch. It is not shorter because each check
// wakes the process.
const checkInterval = 500 * time.Millisecond

// Watch calls check every 500 ms until the context ends; then it returns nil. check updates the
// parts with SetReady.
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
