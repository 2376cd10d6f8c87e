package scheduler

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// TestWorkerStatus_LastSeenCountsFromTerm: a worker that a new leader never saw sent no heartbeat
// since the term began, not since the process did.
func TestWorkerStatus_LastSeenCountsFromTerm(t *testing.T) {
	h := newHarness(t)
	var lines bytes.Buffer
	h.worker("w", "w-1").exchange()
	h.submit("j", tasks(1))
	h.newTerm()
	h.leader.logger = slog.New(slog.NewTextHandler(&lines, nil))
	h.advance(testLease + time.Second)
	if want := fmt.Sprintf("since_last_seen=%v\n", testLease+time.Second); !strings.Contains(lines.String(), want) {
		t.Errorf("logged %q, want %q", lines.String(), want)
	}
}

func TestReadQueue_CountsOneQueue(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(6)) // 4 fit
	answer, err := h.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "q"})
	if want := (api.QueueStatus{Name: "q", Jobs: 1, WaitingJobs: 1, Pending: 2, Running: 4}); err != nil || answer.Status != want {
		t.Errorf("queue %+v, %v, want %+v", answer.Status, err, want)
	}
	var refusal *api.Error
	if _, err := h.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "other"}); !errors.As(err, &refusal) || refusal.Status != 404 {
		t.Errorf("want not found, got %v", err)
	}
	h.log.lease = false
	if _, err := h.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "q"}); err == nil {
		t.Error("answered without a lease")
	}
}
