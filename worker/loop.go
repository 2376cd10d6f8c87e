package worker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/api"
)

const (
	// requestTimeout bounds the request of one heartbeat; half the lease is a
	// second bound.
	requestTimeout = 1500 * time.Millisecond
	// heartbeatSpacing is the minimum time between two heartbeats, so that
	// runs that end at nearly the same time are reported in one heartbeat.
	heartbeatSpacing = 5 * time.Millisecond
	// jitterPercent is the random variation of each pause between heartbeats,
	// in both directions.
	jitterPercent = 10
	// blockedLogDelay is the time from the expiry of the lease to the first log
	// message about handlers that are still running, and blockedLogInterval the
	// time between repetitions of that message.
	blockedLogDelay    = time.Second
	blockedLogInterval = 10 * time.Second
)

// heartbeatResult is the answer to one heartbeat, or the error of its request.
type heartbeatResult struct {
	answer api.HeartbeatAnswer
	err    error
}

// loop drives a session and is its only user. The goroutines of requests and
// handlers send their results to it over channels. session, cancels and the
// fields after leaseExpiry are used only by the goroutine of run.
type loop struct {
	worker  *Worker
	session *session
	logger  *slog.Logger

	answers   chan heartbeatResult
	endedRuns chan api.EndedRun
	done      chan struct{} // closed when run returns and stops receiving from endedRuns
	cancels   map[api.RunRef]context.CancelCauseFunc
	// leaseExpiry is a copy of session.leaseExpiry, in nanoseconds of the
	// worker's clock. Handlers read it concurrently through Task.Held.
	leaseExpiry atomic.Int64

	nextHeartbeatAt  time.Duration
	heartbeatPending bool          // send the next heartbeat right after the outstanding one
	failing          bool          // the last heartbeat got no acceptable answer
	cancelAt         time.Duration // when a draining worker cancels its runs
	exitAt           time.Duration // when a draining worker exits even with open runs or reports
	runsCancelled    bool          // the runs of a draining worker were cancelled
	blockedLogAt     time.Duration // when to log next that handlers run after the lease expired
}

func newLoop(w *Worker) *loop {
	return &loop{
		worker:    w,
		session:   newSession(w.identity()),
		logger:    w.config.Logger.With(slog.String("worker", w.config.Name), slog.String("worker_id", w.workerID)),
		answers:   make(chan heartbeatResult, 1),
		endedRuns: make(chan api.EndedRun),
		done:      make(chan struct{}),
		cancels:   make(map[api.RunRef]context.CancelCauseFunc),
	}
}

// run sends heartbeats and executes orders until ctx is cancelled, and then
// drains the worker. Requests and handlers do not inherit the cancellation of
// ctx, since they continue during the drain.
func (l *loop) run(ctx context.Context) error {
	var requests sync.WaitGroup
	requestContext, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer requests.Wait()
	defer cancelRequests()
	defer close(l.done)
	handlerContext := context.WithoutCancel(ctx)
	shutdown := ctx.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := l.now()
		l.handleDeadlines(now)
		if l.shouldExit(now) {
			return l.exit()
		}
		if !l.session.outstanding && now >= l.nextHeartbeatAt {
			l.send(requestContext, &requests, now)
		}
		timer.Reset(l.wakeAt() - now)
		select {
		case <-shutdown:
			shutdown = nil
			l.drain(l.now())
		case result := <-l.answers:
			l.handleResult(handlerContext, result)
		case ended := <-l.endedRuns:
			l.handleEndedRun(ended)
		case <-timer.C:
		}
	}
}

func (l *loop) now() time.Duration { return l.worker.config.Clock() }

// handleDeadlines expires the lease, cancels the runs of a draining worker and
// logs blocked handlers, each if it is due.
func (l *loop) handleDeadlines(now time.Duration) {
	l.expireLease(now)
	if l.session.draining && !l.runsCancelled && now >= l.cancelAt {
		l.runsCancelled = true
		l.cancelRuns(l.session.stopAll(), ErrDraining)
	}
	if l.session.blocked() && now >= l.blockedLogAt {
		l.blockedLogAt = now + blockedLogInterval
		l.logger.Error("handlers are still running after the lease expired", slog.Any("runs", l.session.runningRefs()))
	}
}

// expireLease cancels the handlers of all runs if the lease has expired.
func (l *loop) expireLease(now time.Duration) {
	stop := l.session.expireLease(now)
	if len(stop) == 0 {
		return
	}
	l.logger.Warn("lease expired, cancelling all runs", slog.Int("runs", len(stop)))
	l.blockedLogAt = now + blockedLogDelay
	l.cancelRuns(stop, ErrHoldLapsed)
}

// cancelRuns cancels the contexts of the runs' handlers with the cause.
func (l *loop) cancelRuns(refs []api.RunRef, cause error) {
	for _, ref := range refs {
		l.cancels[ref](cause)
	}
}

// send starts the request of the next heartbeat in its own goroutine. now must
// have been read before the call, so that the lease counts from a time that is
// no later than the sending.
func (l *loop) send(ctx context.Context, requests *sync.WaitGroup, now time.Duration) {
	heartbeat := l.session.nextHeartbeat(now)
	timeout := requestTimeout
	if l.session.lease > 0 {
		timeout = min(timeout, l.session.lease/2)
	}
	requests.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, err := l.worker.client.post(ctx, heartbeat)
		l.answers <- heartbeatResult{answer: answer, err: err}
	})
}

// handleResult applies the answer to a heartbeat, or schedules the next
// heartbeat if the request failed or the answer is not acceptable. It expires
// the lease first, so that no answer renews a lease that has already expired
// without the runs under it being cancelled.
func (l *loop) handleResult(ctx context.Context, result heartbeatResult) {
	now := l.now()
	l.expireLease(now)
	if result.err != nil {
		l.heartbeatFailed(now, "heartbeat failed", result.err)
		return
	}
	todo, err := l.session.accept(now, result.answer)
	if err != nil {
		l.heartbeatFailed(now, "heartbeat answer discarded", err)
		return
	}
	if l.failing {
		l.logger.Info("heartbeats succeed again", slog.Uint64("seq", l.session.seq))
	}
	l.failing = false
	l.leaseExpiry.Store(int64(l.session.leaseExpiry))
	l.nextHeartbeatAt = l.session.sentAt + jitter(l.session.interval)
	l.cancelRuns(todo.stop, ErrStopped)
	for _, order := range todo.start {
		l.start(ctx, order)
	}
	l.logOrders(todo)
	if l.heartbeatPending || len(todo.rejected) > 0 || l.session.reportsDeferred {
		l.heartbeatPending = false
		l.scheduleHeartbeat(now)
	}
}

// heartbeatFailed schedules the next heartbeat after the regular pause. It logs
// the first of consecutive failures as a warning and the others at debug level.
func (l *loop) heartbeatFailed(now time.Duration, message string, err error) {
	level := slog.LevelDebug
	if !l.failing {
		level = slog.LevelWarn
	}
	l.logger.Log(context.Background(), level, message, slog.Uint64("seq", l.session.seq), slog.Any("error", err))
	l.session.abandonHeartbeat()
	l.failing = true
	l.heartbeatPending = false
	l.nextHeartbeatAt = now + jitter(l.session.interval)
}

// logOrders logs the duplicate and the rejected orders.
func (l *loop) logOrders(todo actions) {
	for _, ref := range todo.duplicates {
		l.logger.Error("duplicate order for a known run ignored", slog.String("task", ref.Task), slog.Uint64("run", uint64(ref.Run)))
	}
	for _, run := range todo.rejected {
		l.logger.Warn("order to start a run rejected", slog.String("task", run.Task), slog.Uint64("run", uint64(run.Run)), slog.String("reason", run.Message))
	}
}

// start runs the handler of an accepted order in its own goroutine.
func (l *loop) start(ctx context.Context, order api.StartOrder) {
	ctx, cancel := context.WithCancelCause(ctx)
	l.cancels[order.RunRef] = cancel
	task := Task{RunRef: order.RunRef, Token: l.session.token, Spec: order.Spec, Checkpoint: order.Checkpoint}
	task.progress = &l.session.running[order.RunRef].progress
	task.leaseValid = func() bool { return ctx.Err() == nil && int64(l.now()) < l.leaseExpiry.Load() }
	handler := l.worker.handlers[order.Spec.Service]
	l.logger.Debug("run starts", slog.String("task", order.Task), slog.Uint64("run", uint64(order.Run)))
	go func() {
		ended := l.worker.execute(ctx, handler, task)
		select {
		case l.endedRuns <- ended:
		case <-l.done:
		}
	}()
}

// handleEndedRun records the end of a run whose handler has returned, and
// schedules a heartbeat that reports it.
func (l *loop) handleEndedRun(ended api.EndedRun) {
	l.cancels[ended.RunRef](nil)
	delete(l.cancels, ended.RunRef)
	l.session.endRun(ended)
	l.logger.Debug("run ended", slog.String("task", ended.Task), slog.Uint64("run", uint64(ended.Run)),
		slog.String("outcome", string(ended.Outcome)), slog.String("reason", ended.Message))
	l.scheduleHeartbeat(l.now())
}

// scheduleHeartbeat schedules the next heartbeat as soon as heartbeatSpacing
// allows, or after the answer to the outstanding one. While heartbeats fail, it
// does not shorten the regular pause.
func (l *loop) scheduleHeartbeat(now time.Duration) {
	if l.failing {
		return
	}
	if l.session.outstanding {
		l.heartbeatPending = true
		return
	}
	l.nextHeartbeatAt = min(l.nextHeartbeatAt, max(now, l.session.sentAt+heartbeatSpacing))
}

// drain starts the shutdown: the loop cancels the open runs after DrainTimeout
// and exits at most ReportTimeout later.
func (l *loop) drain(now time.Duration) {
	l.logger.Info("draining", slog.Int("runs", len(l.session.running)))
	l.session.drain()
	l.cancelAt = now + l.worker.config.DrainTimeout
	l.exitAt = l.cancelAt + l.worker.config.ReportTimeout
	l.scheduleHeartbeat(now)
}

// shouldExit reports whether a draining worker exits now: because it is drained,
// because it has nothing to report and heartbeats fail, or because DrainTimeout
// and ReportTimeout have passed.
func (l *loop) shouldExit(now time.Duration) bool {
	if !l.session.draining {
		return false
	}
	idle := len(l.session.running) == 0 && len(l.session.ended) == 0
	unreachable := l.failing && !l.session.outstanding && idle
	return l.session.drained() || unreachable || now >= l.exitAt
}

// exit cancels the runs that are still open and returns ErrHandlersRunning if
// there are any.
func (l *loop) exit() error {
	if count := len(l.session.ended); count > 0 {
		l.logger.Warn("exiting with unacknowledged run reports", slog.Int("reports", count))
	}
	if len(l.session.running) == 0 {
		return nil
	}
	l.cancelRuns(l.session.runningRefs(), ErrDraining)
	l.logger.Error("exiting with handlers still running", slog.Any("runs", l.session.runningRefs()))
	return ErrHandlersRunning
}

// wakeAt returns the earliest time at which run must act without an event, at
// most an hour from now.
func (l *loop) wakeAt() time.Duration {
	wakeAt := l.now() + time.Hour
	if !l.session.outstanding {
		wakeAt = min(wakeAt, l.nextHeartbeatAt)
	}
	if len(l.session.running) > 0 && !l.session.blocked() {
		wakeAt = min(wakeAt, l.session.leaseExpiry)
	}
	if l.session.blocked() {
		wakeAt = min(wakeAt, l.blockedLogAt)
	}
	if l.session.draining {
		wakeAt = min(wakeAt, l.exitAt)
	}
	if l.session.draining && !l.runsCancelled {
		wakeAt = min(wakeAt, l.cancelAt)
	}
	return wakeAt
}

// jitter returns the pause, varied at random by up to jitterPercent.
func jitter(pause time.Duration) time.Duration {
	spread := pause * jitterPercent / 100
	return pause - spread + rand.N(2*spread+1)
}
