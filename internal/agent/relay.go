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

// suspectTimeout bounds a call to a scheduler that may lead no more, so that the
// next leader is asked soon enough for the worker's hold.
const suspectTimeout = 300 * time.Millisecond

// leaderPollInterval is how often a heartbeat that waits looks for a leader.
const leaderPollInterval = 10 * time.Millisecond

// target is the scheduler that a heartbeat goes to.
type leaderTarget struct {
	address string
	// suspect: it was the leader, and none is known now.
	suspect bool
}

// target picks the scheduler for a heartbeat. The worker's reports must not
// wait until the leader's answers arrive again.
func (a *Agent) pickTarget() (leaderTarget, bool) {
	if address, known := a.config.Link.Leader(); known {
		return leaderTarget{address: address}, true
	}
	address, known := a.config.Link.PreviousLeader()
	return leaderTarget{address: address, suspect: true}, known
}

// relay carries a heartbeat to the leader. While none is known, and after a call
// that surely was not heard, it waits for one, within the relay's time; in the
// second case for a pause at least, as that leader may still be the known one. A
// heartbeat that may have been heard is never sent again.
func (a *Agent) relay(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, *api.Error) {
	for {
		leader, known := a.pickTarget()
		if !known && !a.awaitLeader(ctx) {
			a.metrics.count(resultNoLeader)
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

// awaitLeader waits until a leader is known, and reports whether one is.
func (a *Agent) awaitLeader(ctx context.Context) bool {
	for ctx.Err() == nil {
		if _, known := a.config.Link.Leader(); known {
			return true
		}
		contexttime.Sleep(ctx, leaderPollInterval)
	}
	return false
}

// attempt makes one call. unsent tells that the heartbeat surely was not heard.
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
	// An agent that was frozen finds answers that came long ago.
	if took >= a.config.RelayTimeout {
		a.metrics.count(resultLate)
		return answer, false, unavailable("the leading scheduler answered too late")
	}
	answer, refusal = a.checkAnswer(heartbeat, reply.Answer)
	if refusal == nil {
		a.config.Link.ObserveHeartbeatAnswer(leader.address, sentAt, leaderclient.HeartbeatUpdate{
			Token: answer.Token, ConfigVersion: answer.ConfigVersion,
			Interval: time.Duration(answer.IntervalMillis) * time.Millisecond,
		})
	}
	return answer, false, refusal
}

// newRequest adds what the agent knows about the worker's place.
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

// checkAnswer drops an answer that the worker must not get.
func (a *Agent) checkAnswer(heartbeat api.Heartbeat, answer api.HeartbeatAnswer) (api.HeartbeatAnswer, *api.Error) {
	if answer.Seq != heartbeat.Seq {
		a.metrics.count(resultFailed)
		return api.HeartbeatAnswer{}, unavailable("the answer was to another heartbeat")
	}
	if !a.config.Link.ObserveToken(answer.Token) {
		a.metrics.count(resultStaleToken)
		a.metrics.staleTokens.Inc()
		a.config.Logger.Warn("answer under a stale token dropped", slog.String("worker_id", heartbeat.WorkerID),
			slog.Uint64("token", answer.Token), slog.Uint64("highest", a.config.Link.Token()))
		return api.HeartbeatAnswer{}, unavailable("the answer was given under a stale token")
	}
	return answer, nil
}

// handleRelayFailure says what a failed call means for the worker and for the link.
func (a *Agent) handleRelayFailure(ctx context.Context, leader leaderTarget, heartbeat api.Heartbeat, err error) *api.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		a.metrics.count(resultSuperseded)
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
		a.metrics.count(resultNotLeader)
		a.redirect(leader.address, failure.LeaderAddress)
		return unavailable("the scheduler asked does not lead")
	case rpc.CodeRefused:
		if failure.API != nil {
			a.metrics.count(resultRefused)
			return failure.API
		}
	case rpc.CodeTransport:
		if !leader.suspect {
			a.config.Link.ReportFailure(leader.address)
		}
	}
	a.metrics.count(resultFailed)
	return unavailable("the leading scheduler did not answer")
}

// redirect takes the hint for the next heartbeat, unless the link has learned
// of another leader since.
func (a *Agent) redirect(queried, hint string) {
	current, known := a.config.Link.Leader()
	if known && current != queried {
		return
	}
	if hint == queried {
		hint = ""
	}
	a.config.Link.ObserveHint(hint)
}
