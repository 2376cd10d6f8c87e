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
	// LeavePath is the route to which workers post leave notices.
	LeavePath = "/v1/leave"
	// maxLeaveBytes is the maximum size of a leave notice's body.
	maxLeaveBytes = 4 << 10
	// maxLeaveAttempts is the maximum number of calls per notice, so that a leader hint can
	// be followed. Unlike a heartbeat, a notice is idempotent.
	maxLeaveAttempts = 2
	// maxRemainingMillis is the maximum remaining time, in ms, in a notice or heartbeat.
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

// Leave relays a worker's notice that it is about to exit. remainingMillis is the minimum
// time until the exit; 0 if not known. Later heartbeats of the worker are relayed as
// draining even if the call failed, so that later leaders receive the notice as well.
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

// handleLeaveFailure updates the leader client after a failed call, and returns the error
// for the worker.
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

// validateNotice returns an error for each invalid field.
func validateNotice(workerID string, remainingMillis int64) []api.FieldError {
	var c checker
	c.check(workerID != "" && len(workerID) <= maxWorkerIDBytes, "worker_id", workerID, "1 to 128 bytes, as in the heartbeats")
	c.checkRemaining(remainingMillis)
	return c.fields
}

func (c *checker) checkRemaining(millis int64) {
	c.check(millis >= 0 && millis <= maxRemainingMillis, "remaining_ms", strconv.FormatInt(millis, 10), "0 to 86400000")
}

// departures has the workers that sent a leave notice, by worker id. It is safe for
// concurrent use.
type departures struct {
	mutex   sync.Mutex
	workers map[string]*departure
}

type departure struct {
	// endsAt is the earliest time at which the worker exits; zero if not known.
	endsAt   time.Time
	lastSeen time.Time
}

func newDepartures() *departures { return &departures{workers: make(map[string]*departure)} }

// record stores a notice, and removes workers that were idle for more than idleTimeout.
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

// annotate returns the heartbeat, set to draining if its worker sent a leave notice. The
// remaining time is at least 1 ms, because 0 means not known.
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
