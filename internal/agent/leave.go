package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// LeavePath is where workers post the notice that they leave.
	LeavePath = "/v1/leave"
	// maxLeaveBytes is the largest body of a notice.
	maxLeaveBytes = 4 << 10
	// maxLeaveAttempts is how often a notice is sent, to follow a hint to another
	// scheduler. Unlike a heartbeat, a notice is idempotent.
	maxLeaveAttempts = 2
	// maxRemainingMillis is the longest time that a notice may have left.
	maxRemainingMillis = int64(24 * time.Hour / time.Millisecond)
)

// serveLeave serves POST /v1/leave.
func (a *Agent) serveLeave(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		rejectMethod(writer, LeavePath)
		return
	}
	var notice api.LeaveNotice
	refusal := api.DecodeStrict(http.MaxBytesReader(writer, request.Body, maxLeaveBytes), &notice)
	if refusal == nil {
		refusal = a.Leave(request.Context(), notice.WorkerID, notice.RemainingMillis)
	}
	if refusal != nil {
		httpjson.WriteError(writer, refusal)
		return
	}
	httpjson.Write(writer, http.StatusOK, api.LeaveAnswer{Leaving: true})
}

// Leave relays the notice of a worker that it is about to end. remainingMillis is the
// least time that the worker still has; 0 if that is not known. Whatever the outcome of
// the call, all later heartbeats of the worker say that it is draining, so that later
// leaders learn of it as well.
func (a *Agent) Leave(ctx context.Context, workerID string, remainingMillis int64) *api.Error {
	if fields := validateNotice(workerID, remainingMillis); len(fields) > 0 {
		return httpjson.Invalid("notice", fields)
	}
	a.departures.record(workerID, remainingMillis, time.Now())
	ctx, cancel := context.WithTimeout(ctx, a.config.RelayTimeout)
	defer cancel()
	var refusal *api.Error
	for range maxLeaveAttempts {
		leader, known := a.config.Link.Leader()
		if !known {
			return unavailable("the leading scheduler is not known")
		}
		request := protocol.LeaveRequest{WorkerID: workerID, RemainingMillis: remainingMillis}
		_, err := rpc.Call[protocol.LeaveRequest, protocol.Empty](ctx, a.config.Client, leader, protocol.MethodLeave, request)
		if err == nil {
			return nil
		}
		refusal = a.handleLeaveFailure(ctx, leader, workerID, err)
	}
	return refusal
}

// handleLeaveFailure passes a failed call on to the link, and returns the worker's answer.
func (a *Agent) handleLeaveFailure(ctx context.Context, leader, workerID string, err error) *api.Error {
	a.config.Logger.Debug("notice not relayed", slog.String("worker_id", workerID), slog.String("address", leader), slog.Any("error", err))
	var failure *rpc.Error
	if !errors.As(err, &failure) {
		return unavailable("the leading scheduler did not answer")
	}
	switch failure.Code {
	case rpc.CodeNotLeader:
		a.redirect(leader, failure.LeaderAddress)
	case rpc.CodeTransport:
		if !errors.Is(ctx.Err(), context.Canceled) {
			a.config.Link.ReportFailure(leader)
		}
	case rpc.CodeRefused:
		if failure.API != nil {
			return failure.API
		}
	}
	return unavailable("the leading scheduler did not answer")
}

// validateNotice returns an error for each field that is not valid.
func validateNotice(workerID string, remainingMillis int64) []api.FieldError {
	var c checker
	c.check(workerID != "" && len(workerID) <= maxWorkerIDBytes, "worker_id", workerID, "1 to 128 bytes, as in the heartbeats")
	c.remaining(remainingMillis)
	return c.fields
}

func (c *checker) remaining(millis int64) {
	c.check(millis >= 0 && millis <= maxRemainingMillis, "remaining_ms", strconv.FormatInt(millis, 10), "0 to 86400000")
}

// departures has the workers that gave notice that they leave. It is safe for concurrent
// use.
type departures struct {
	mutex   sync.Mutex
	workers map[string]*departure
}

type departure struct {
	// endsAt is the earliest end of the worker; zero if that is not known.
	endsAt   time.Time
	lastSeen time.Time
}

func newDepartures() *departures { return &departures{workers: make(map[string]*departure)} }

// record stores a notice, and drops workers that were idle for long.
func (d *departures) record(workerID string, remainingMillis int64, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, worker := range d.workers {
		if now.Sub(worker.lastSeen) > idleTimeout {
			delete(d.workers, id)
		}
	}
	worker := d.workers[workerID]
	if worker == nil {
		worker = &departure{}
		d.workers[workerID] = worker
	}
	worker.lastSeen = now
	if remainingMillis > 0 {
		worker.endsAt = now.Add(time.Duration(remainingMillis) * time.Millisecond)
	}
}

// annotate returns a heartbeat with the notice that its worker gave.
func (d *departures) annotate(heartbeat api.Heartbeat, now time.Time) api.Heartbeat {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker := d.workers[heartbeat.WorkerID]
	if worker == nil {
		return heartbeat
	}
	worker.lastSeen = now
	heartbeat.Draining = true
	if heartbeat.RemainingMillis == 0 && !worker.endsAt.IsZero() {
		heartbeat.RemainingMillis = max(1, worker.endsAt.Sub(now).Milliseconds())
	}
	return heartbeat
}
