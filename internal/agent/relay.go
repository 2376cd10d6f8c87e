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

// zoneLabel is the worker label that the agent sets.
const zoneLabel = "zone"

// suspectTimeout bounds a call to a scheduler that may no longer lead, so that the next
// leader is called before the worker's lease expires.
const suspectTimeout = 300 * time.Millisecond

// leaderPollInterval is how often a heartbeat without a leader checks for one.
const leaderPollInterval = 10 * time.Millisecond

// leaderTarget is the scheduler that a heartbeat is relayed to.
type leaderTarget struct {
	address string
	// suspect is true for the previous leader, while none is known.
	suspect bool
}

// pickTarget picks the scheduler for a heartbeat. While no leader is known that is the
// previous one, since the worker's reports must not wait for a leader to be confirmed.
func (a *Agent) pickTarget() (leaderTarget, bool) {
	if address, known := a.config.Link.Leader(); known {
		return leaderTarget{address: address}, true
	}
	address, known := a.config.Link.PreviousLeader()
	return leaderTarget{address: address, suspect: true}, known
}

// relay relays a heartbeat to the leader. While none is known, and after a call that
// certainly did not arrive, it waits for one until ctx ends. In the second case it waits
// for leaderPollInterval at least, as the known leader may still be the one that failed. A
// heartbeat that may have arrived is never sent again.
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

// awaitLeader waits until a leader is known or ctx ends, and reports whether one is known.
func (a *Agent) awaitLeader(ctx context.Context) bool {
	for ctx.Err() == nil {
		if _, known := a.config.Link.Leader(); known {
			return true
		}
		contexttime.Sleep(ctx, leaderPollInterval)
	}
	return false
}

// attempt makes one call. unsent is true if the heartbeat certainly did not arrive.
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
	took := time.Since(sentAt)
	a.metrics.relaySeconds.Observe(took.Seconds())
	if err != nil {
		var failure *rpc.Error
		unsent = errors.As(err, &failure) && failure.Unsent
		return answer, unsent, a.handleRelayFailure(ctx, leader, heartbeat, err)
	}
	answer, refusal = a.acceptAnswer(leader, heartbeat, reply.Answer, sentAt, took)
	return answer, false, refusal
}

// acceptAnswer takes in the answer to a heartbeat that was sent at sentAt and took took, and
// returns it for the worker.
func (a *Agent) acceptAnswer(leader leaderTarget, heartbeat api.Heartbeat, answer api.HeartbeatAnswer, sentAt time.Time, took time.Duration) (api.HeartbeatAnswer, *api.Error) {
	// A process that was frozen finds answers that came long ago.
	if took >= a.config.RelayTimeout {
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

// newRequest returns the request for a heartbeat, with the agent's zone as a label of the
// worker.
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

// checkAnswer returns an answer, or an error for one that the worker must not get.
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

// handleRelayFailure passes a failed call on to the link, and returns the worker's answer.
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

// redirect passes a hint of the scheduler that was called on to the link, unless that
// knows another leader by now.
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
