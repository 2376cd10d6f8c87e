package scheduler

import (
	"context"
	"time"

	"github.com/decklever/decklever/internal/protocol"
)

const (
	// watchLease is how long a process may serve without a newer answer, counted from
	// when it sent its request. Promise P8 in docs/DESIGN.md allows 2 s from the
	// acknowledgement of a configuration until every live process has it.
	watchLease = 1500 * time.Millisecond
	// maxWatchWait is the maximum time for which a watch is pending. Processes request
	// less than a third of watchLease, so that they renew it in time even if one call
	// is lost; agents request more while their workers' heartbeats renew it.
	maxWatchWait = 5 * time.Second
)

// watch answers at once if the process does not have the newest configuration and
// token, else when the configuration changes, the term ends or the requested wait is
// over.
func (l *leader) watch(ctx context.Context, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
	changed := l.recordProcess(request)
	if changed != nil {
		wait := min(time.Duration(request.MaxWaitMillis)*time.Millisecond, maxWatchWait)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-l.context.Done():
		}
	}
	if !l.log.HoldsLease(l.token) {
		return protocol.WatchAnswer{}, l.notLeader()
	}
	return l.watchAnswer(request), nil
}

func (l *leader) watchAnswer(request protocol.WatchRequest) protocol.WatchAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := protocol.WatchAnswer{Token: l.token, ConfigVersion: l.settings.version, LeaseMillis: watchLease.Milliseconds()}
	if leader, known := l.log.Leader(); known {
		answer.LeaderAddress = leader.Address
	}
	if request.ConfigVersion != l.settings.version && !request.VersionOnly {
		answer.Config = l.settings.config
	}
	return answer
}

// recordProcess records the configuration version that the process has in force. It
// returns nil if the process must be notified now, else a channel that is closed when
// the configuration changes.
func (l *leader) recordProcess(request protocol.WatchRequest) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings.observeWatch(request, l.now())
	if request.ConfigVersion != l.settings.version || request.Token != l.token {
		return nil
	}
	return l.settings.changed
}

// rollout returns the configuration version that each process has in force.
func (l *leader) rollout(context.Context, protocol.Empty) (protocol.RolloutAnswer, error) {
	if !l.log.HoldsLease(l.token) {
		return protocol.RolloutAnswer{}, l.notLeader()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return protocol.RolloutAnswer{Rollout: l.settings.rollout(l.now())}, nil
}
