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

// For a worker that has sent no heartbeat to a new leader, the time since it was last seen
// counts from the start of the term, not from the start of the process.
func TestWorkerStatus_LastSeenCountsFromTerm(t *testing.T) {
	h := newHarness(t)
	var lines bytes.Buffer
	h.newWorker("w", "w-1").exchange()
	h.submit("j", tasks(1))
	h.newTerm()
	h.leader.logger = slog.New(slog.NewTextHandler(&lines, nil))
	h.advance(testLease + time.Second)
	if want := fmt.Sprintf("since_last_seen=%v\n", testLease+time.Second); !strings.Contains(lines.String(), want) {
		t.Errorf("got log %q, want it to contain %q", lines.String(), want)
	}
}

func TestReadQueue_CountsOneQueue(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(6)) // the worker has capacity for 4
	answer, err := h.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "q"})
	if want := (api.QueueStatus{Name: "q", Jobs: 1, WaitingJobs: 1, Pending: 2, Running: 4}); err != nil || answer.Status != want {
		t.Errorf("got queue %+v, error %v, want %+v", answer.Status, err, want)
	}
	var refusal *api.Error
	if _, err := h.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "other"}); !errors.As(err, &refusal) || refusal.Status != 404 {
		t.Errorf("unknown queue: got error %v, want status 404", err)
	}
	h.log.holdsLease = false
	if _, err := h.leader.readQueue(t.Context(), protocol.QueueRequest{Name: "q"}); err == nil {
		t.Error("without a lease: got an answer, want an error")
	}
}
