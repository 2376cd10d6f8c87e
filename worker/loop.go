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
	// requestTimeout bounds the request of a heartbeat, which is also bounded
	// by half the lease.
	requestTimeout = 1500 * time.Millisecond
	// heartbeatSpacing is the minimum time between two heartbeats, so that
	// runs that end at nearly the same time share one.
	heartbeatSpacing = 5 * time.Millisecond
	// jitterPercent is by how much each pause between heartbeats varies.
	jitterPercent = 10
	// blockedLogDelay and blockedLogInterval time the log message about
	// handlers that continue after the lease has expired.
	blockedLogDelay    = time.Second
	blockedLogInterval = 10 * time.Second
)

// heartbeatResult is the result of the request of one heartbeat.
type heartbeatResult struct {
	answer api.HeartbeatAnswer
	err    error
}

// loop drives a session and is its only user. Goroutines of requests and
// handlers send their results over its channels.
type loop struct {
	worker  *Worker
	session *session
	logger  *slog.Logger

	answers   chan heartbeatResult
	endedRuns chan api.EndedRun
	done      chan struct{} // closed when nobody receives from endedRuns any more
	cancels   map[api.RunRef]context.CancelCauseFunc
	// leaseExpiry is the session's, in nanoseconds, for handlers that call
	// Task.Held.
	leaseExpiry atomic.Int64

	nextHeartbeatAt  time.Duration
	heartbeatPending bool          // send the next heartbeat right after the outstanding one
	failing          bool          // the last heartbeat had no usable answer
	cancelAt         time.Duration // when a draining worker cancels its runs
	leaveAt          time.Duration // when a draining worker ends in any case
	cancelled        bool          // the runs of a draining worker were cancelled
	blockedLogAt     time.Duration // of the next log message about blocked handlers
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
		if l.shouldLeave(now) {
			return l.leave()
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

// handleDeadlines handles everything that is due by the clock.
func (l *loop) handleDeadlines(now time.Duration) {
	l.expireLease(now)
	if l.session.draining && !l.cancelled && now >= l.cancelAt {
		l.cancelled = true
		l.cancelRuns(l.session.stopAll(), ErrDraining)
	}
	if l.session.blocked() && now >= l.blockedLogAt {
		l.blockedLogAt = now + blockedLogInterval
		l.logger.Error("handlers go on although the hold lapsed", slog.Any("runs", l.session.runningRefs()))
	}
}

// expireLease cancels all runs if the lease has expired.
func (l *loop) expireLease(now time.Duration) {
	stop := l.session.expireLease(now)
	if len(stop) == 0 {
		return
	}
	l.logger.Warn("hold lapsed, all runs are stopped", slog.Int("runs", len(stop)))
	l.blockedLogAt = now + blockedLogDelay
	l.cancelRuns(stop, ErrHoldLapsed)
}

// cancelRuns cancels the contexts of the runs' handlers.
func (l *loop) cancelRuns(refs []api.RunRef, cause error) {
	for _, ref := range refs {
		l.cancels[ref](cause)
	}
}

// send starts the request of the next heartbeat. now must have been read
// before, so that the lease is counted from no later than the time of
// sending.
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

// handleResult handles the end of a heartbeat's request.
func (l *loop) handleResult(ctx context.Context, result heartbeatResult) {
	now := l.now()
	l.expireLease(now)
	if result.err != nil {
		l.heartbeatFailed(now, "heartbeat failed", result.err)
		return
	}
	todo, err := l.session.accept(now, result.answer)
	if err != nil {
		l.heartbeatFailed(now, "heartbeat answer refused", err)
		return
	}
	if l.failing {
		l.logger.Info("heartbeats are answered again", slog.Uint64("seq", l.session.seq))
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

// heartbeatFailed logs the first of several failures as a warning and
// schedules the next heartbeat.
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

// logOrders logs the orders that were not followed.
func (l *loop) logOrders(todo actions) {
	for _, ref := range todo.duplicates {
		l.logger.Error("order for a known run ignored", slog.String("task", ref.Task), slog.Uint64("run", uint64(ref.Run)))
	}
	for _, run := range todo.rejected {
		l.logger.Warn("order refused", slog.String("task", run.Task), slog.Uint64("run", uint64(run.Run)), slog.String("reason", run.Message))
	}
}

// start runs the handler of an accepted order in a goroutine of its own.
func (l *loop) start(ctx context.Context, order api.StartOrder) {
	ctx, cancel := context.WithCancelCause(ctx)
	l.cancels[order.RunRef] = cancel
	task := Task{RunRef: order.RunRef, Token: l.session.token, Spec: order.Spec, Checkpoint: order.Checkpoint}
	task.progress = &l.session.running[order.RunRef].progress
	task.leaseHeld = func() bool { return ctx.Err() == nil && int64(l.now()) < l.leaseExpiry.Load() }
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

// handleEndedRun handles the return of a handler.
func (l *loop) handleEndedRun(ended api.EndedRun) {
	l.cancels[ended.RunRef](nil)
	delete(l.cancels, ended.RunRef)
	l.session.endRun(ended)
	l.logger.Debug("run ended", slog.String("task", ended.Task), slog.Uint64("run", uint64(ended.Run)),
		slog.String("outcome", string(ended.Outcome)), slog.String("reason", ended.Message))
	l.scheduleHeartbeat(l.now())
}

// scheduleHeartbeat makes the next heartbeat go out at once, or right after
// the outstanding one. While heartbeats fail, the regular pause stays.
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

// drain begins the shutdown: runs are cancelled after DrainTimeout, and the
// loop ends at most ReportTimeout later.
func (l *loop) drain(now time.Duration) {
	l.logger.Info("draining", slog.Int("runs", len(l.session.running)))
	l.session.drain()
	l.cancelAt = now + l.worker.config.DrainTimeout
	l.leaveAt = l.cancelAt + l.worker.config.ReportTimeout
	l.scheduleHeartbeat(now)
}

// shouldLeave reports whether a draining worker may or must end now.
func (l *loop) shouldLeave(now time.Duration) bool {
	if !l.session.draining {
		return false
	}
	nothingOpen := len(l.session.running) == 0 && len(l.session.ended) == 0
	unheard := l.failing && !l.session.outstanding && nothingOpen
	return l.session.drained() || unheard || now >= l.leaveAt
}

// leave cancels the runs that are still open. It returns ErrHandlersRunning
// if there are any.
func (l *loop) leave() error {
	if count := len(l.session.ended); count > 0 {
		l.logger.Warn("left with reports not acknowledged", slog.Int("reports", count))
	}
	if len(l.session.running) == 0 {
		return nil
	}
	l.cancelRuns(l.session.runningRefs(), ErrDraining)
	l.logger.Error("left with handlers running", slog.Any("runs", l.session.runningRefs()))
	return ErrHandlersRunning
}

// wakeAt returns the next time at which something is due by the clock.
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
		wakeAt = min(wakeAt, l.leaveAt)
	}
	if l.session.draining && !l.cancelled {
		wakeAt = min(wakeAt, l.cancelAt)
	}
	return wakeAt
}

// jitter returns the pause, varied by up to jitterPercent.
func jitter(pause time.Duration) time.Duration {
	spread := pause * jitterPercent / 100
	return pause - spread + rand.N(2*spread+1)
}
