package agent

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// zoneLabel is the worker label that the agent sets, whatever the worker reports.
const zoneLabel = "zone"

// suspectTimeout bounds a call to a scheduler that may no longer be the leader, so that the
// next leader is called before the worker's lease expires.
const suspectTimeout = 300 * time.Millisecond

// leaderPollInterval is the time between two checks for a leader while none is known.
const leaderPollInterval = 10 * time.Millisecond

// leaderTarget is the scheduler that a heartbeat is relayed to.
type leaderTarget struct {
	address string
	// suspect is true for the previous leader, which is called while no leader is known.
	suspect bool
}

// pickTarget returns the leader, or the previous leader while none is known, because a
// worker's reports must not wait for a leader to be confirmed. It returns false if there is
// neither.
func (a *Agent) pickTarget() (leaderTarget, bool) {
	if address, known := a.config.Link.Leader(); known {
		return leaderTarget{address: address}, true
	}
	address, known := a.config.Link.PreviousLeader()
	return leaderTarget{address: address, suspect: true}, known
}

// relay relays a heartbeat to the leader. If there is no scheduler to call, and after a call
// that certainly did not arrive, it waits for a leader until ctx ends. After such a call it
// waits at least leaderPollInterval, because the known leader may still be the one that
// could not be reached. A heartbeat that may have arrived is never sent again.
func (a *Agent) relay(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, *api.Error) {
	for {
		leader, known := a.pickTarget()
		if !known && !a.awaitLeader(ctx) {
			a.metrics.countResult(resultNoLeader)
			return api.HeartbeatAnswer{}, unavailable("the leading scheduler is not known")
		}
		if !known {
			continue
		}
		answer, unsent, refusal := a.attempt(ctx, leader, heartbeat)
		if !unsent || !contexttime.Sleep(ctx, leaderPollInterval) || !a.awaitLeader(ctx) {
			return answer, refusal
		}
	}
}

// awaitLeader waits until a leader is known or ctx ends, and reports whether a leader is
// known.
func (a *Agent) awaitLeader(ctx context.Context) bool {
	for ctx.Err() == nil {
		if _, known := a.config.Link.Leader(); known {
			return true
		}
		contexttime.Sleep(ctx, leaderPollInterval)
	}
	return false
}

// attempt makes one call to leader. unsent is true if the heartbeat certainly did not
// arrive.
func (a *Agent) attempt(ctx context.Context, leader leaderTarget, heartbeat api.Heartbeat) (answer api.HeartbeatAnswer, unsent bool, refusal *api.Error) {
	timeout := a.config.RelayTimeout
	if leader.suspect {
		timeout = min(timeout, suspectTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	supervised, end := a.config.Link.Supervise(ctx, leader.address)
	defer end()
	reply, err := rpc.Call[protocol.HeartbeatRequest, protocol.HeartbeatAnswer](
		supervised, a.config.Client, leader.address, protocol.MethodHeartbeat, a.newRequest(heartbeat))
	elapsed := time.Since(sentAt)
	a.metrics.relaySeconds.Observe(elapsed.Seconds())
	if err != nil {
		var failure *rpc.Error
		unsent = errors.As(err, &failure) && failure.Unsent
		return answer, unsent, a.handleRelayFailure(ctx, leader, heartbeat, err)
	}
	answer, refusal = a.acceptAnswer(leader, heartbeat, reply.Answer, sentAt, elapsed)
	return answer, false, refusal
}

// acceptAnswer checks the answer to a heartbeat that was sent at sentAt and answered after
// elapsed, updates the leader client, and returns the answer for the worker.
func (a *Agent) acceptAnswer(leader leaderTarget, heartbeat api.Heartbeat, answer api.HeartbeatAnswer, sentAt time.Time, elapsed time.Duration) (api.HeartbeatAnswer, *api.Error) {
	// A process that resumes after a suspension may read an answer that arrived long ago.
	if elapsed >= a.config.RelayTimeout {
		a.metrics.countResult(resultLate)
		return api.HeartbeatAnswer{}, unavailable("the leading scheduler answered too late")
	}
	checked, refusal := a.checkAnswer(heartbeat, answer)
	if refusal == nil {
		a.config.Link.ObserveHeartbeatAnswer(leader.address, sentAt, leaderclient.HeartbeatUpdate{
			Token: checked.Token, ConfigVersion: checked.ConfigVersion,
			Interval: time.Duration(checked.IntervalMillis) * time.Millisecond,
		})
	}
	return checked, refusal
}

// newRequest returns the request for a heartbeat, with the agent's zone as the worker's zone
// label.
func (a *Agent) newRequest(heartbeat api.Heartbeat) protocol.HeartbeatRequest {
	zone := a.config.Zone()
	labels := make(map[string]string, len(heartbeat.Labels)+1)
	maps.Copy(labels, heartbeat.Labels)
	labels[zoneLabel] = zone
	heartbeat.Labels = labels
	return protocol.HeartbeatRequest{
		Agent: a.config.Name, Zone: zone, Heartbeat: heartbeat, ConfigVersion: a.config.Link.ConfigVersion(),
	}
}

// checkAnswer returns the answer, or an error if the worker must not get it: it is for
// another seq or has a stale token.
func (a *Agent) checkAnswer(heartbeat api.Heartbeat, answer api.HeartbeatAnswer) (api.HeartbeatAnswer, *api.Error) {
	if answer.Seq != heartbeat.Seq {
		a.metrics.countResult(resultFailed)
		return api.HeartbeatAnswer{}, unavailable("the answer was to another heartbeat")
	}
	if !a.config.Link.ObserveToken(answer.Token) {
		a.metrics.countResult(resultStaleToken)
		a.metrics.staleTokens.Inc()
		a.config.Logger.Warn("answer under a stale token dropped", slog.String("worker_id", heartbeat.WorkerID),
			slog.Uint64("token", answer.Token), slog.Uint64("highest", a.config.Link.Token()))
		return api.HeartbeatAnswer{}, unavailable("the answer was given under a stale token")
	}
	return answer, nil
}

// handleRelayFailure counts a failed call, updates the leader client, and returns the error
// for the worker.
func (a *Agent) handleRelayFailure(ctx context.Context, leader leaderTarget, heartbeat api.Heartbeat, err error) *api.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		a.metrics.countResult(resultSuperseded)
		return unavailable("a newer heartbeat of this worker came in, or it went away")
	}
	a.config.Logger.Debug("relay failed", slog.String("worker_id", heartbeat.WorkerID), slog.Uint64("seq", heartbeat.Seq),
		slog.String("address", leader.address), slog.Any("error", err))
	var failure *rpc.Error
	if !errors.As(err, &failure) {
		failure = &rpc.Error{Code: rpc.CodeTransport}
	}
	switch failure.Code {
	case rpc.CodeNotLeader:
		a.metrics.countResult(resultNotLeader)
		a.redirect(leader.address, failure.LeaderAddress)
		return unavailable("the scheduler asked does not lead")
	case rpc.CodeRefused:
		if failure.API != nil {
			a.metrics.countResult(resultRefused)
			return failure.API
		}
	case rpc.CodeTransport:
		if !leader.suspect {
			a.config.Link.ReportFailure(leader.address)
		}
	}
	a.metrics.countResult(resultFailed)
	return unavailable("the leading scheduler did not answer")
}

// redirect passes the leader hint of the called scheduler to the leader client, unless the
// client knows another leader by now. A scheduler that names itself counts as one that
// knows no leader.
func (a *Agent) redirect(called, hint string) {
	current, known := a.config.Link.Leader()
	if known && current != called {
		return
	}
	if hint == called {
		hint = ""
	}
	a.config.Link.ObserveHint(hint)
}
