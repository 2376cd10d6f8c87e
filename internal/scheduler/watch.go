package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// watchLease is how long a process may serve after it asked, without a
	// newer answer. P8 allows 2 s from the acknowledgement of a configuration
	// until no live process is without it.
	watchLease = 1500 * time.Millisecond
	// maxWatchWait bounds how long a watch is held. Processes ask for less than a
	// third of watchLease, so that they renew it in time even if one call is lost;
	// agents for more while their workers' heartbeats renew it.
	maxWatchWait = 5 * time.Second
	// agentRole is the role of the processes that relay heartbeats.
	agentRole = "agent"
	// forgetProcessAfter drops a process that was not heard from the roll-out.
	forgetProcessAfter = 30 * time.Second
)

// processEntry is what a front or an agent last said.
type processEntry struct {
	role     string
	zone     string
	version  uint64
	lastSeen time.Duration
}

// watch answers at once if the process does not know the newest configuration
// or token, else when one changes or when the wait is over.
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

// recordProcess records what the process has in force. It returns nil if the
// process must be told something now, else a channel that is closed when the
// configuration changes. A process that has just started and knows no
// configuration yet serves nobody, and is noted once it confirms its first.
func (l *leader) recordProcess(request protocol.WatchRequest) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.ConfigVersion > 0 || l.configVersion == 0 {
		l.setProcess(request.Process, processEntry{
			role: request.Role, zone: request.Zone, version: request.ConfigVersion, lastSeen: l.now(),
		})
	} else {
		delete(l.processes, request.Process)
	}
	if request.ConfigVersion != l.configVersion || request.Token != l.token {
		return nil
	}
	return l.configChanged
}

// setProcess notes what a process has in force.
func (l *leader) setProcess(process string, entry processEntry) {
	known, exists := l.processes[process]
	if !exists {
		known = &processEntry{}
		l.processes[process] = known
	}
	*known = entry
}

// confirmAgent notes what the agent that relays a heartbeat has in force.
func (l *leader) confirmAgent(request protocol.HeartbeatRequest, now time.Duration) {
	if request.ConfigVersion > 0 {
		l.setProcess(request.Agent, processEntry{role: agentRole, zone: request.Zone, version: request.ConfigVersion, lastSeen: now})
	}
}

func (l *leader) watchAnswer(request protocol.WatchRequest) protocol.WatchAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := protocol.WatchAnswer{Token: l.token, ConfigVersion: l.configVersion, LeaseMillis: watchLease.Milliseconds()}
	if leader, known := l.log.Leader(); known {
		answer.LeaderAddress = leader.Address
	}
	if request.ConfigVersion != l.configVersion && !request.VersionOnly {
		answer.Config = l.config
	}
	return answer
}

// rollout says which process has which version. Complete counts only
// processes that were heard within their hold: others have stopped serving.
func (l *leader) rollout(context.Context, protocol.Empty) (protocol.RolloutAnswer, error) {
	if !l.log.HoldsLease(l.token) {
		return protocol.RolloutAnswer{}, l.notLeader()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	rollout := api.Rollout{Version: l.configVersion, Complete: true, Processes: []api.ProcessRollout{}}
	for name, process := range l.processes {
		age := now - process.lastSeen
		if age > forgetProcessAfter {
			delete(l.processes, name)
			continue
		}
		if age <= watchLease && process.version != l.configVersion {
			rollout.Complete = false
		}
		rollout.Processes = append(rollout.Processes, api.ProcessRollout{
			Process: name, Role: process.role, Zone: process.zone, Version: process.version, AgeMillis: age.Milliseconds(),
		})
	}
	slices.SortFunc(rollout.Processes, func(a, b api.ProcessRollout) int { return strings.Compare(a.Process, b.Process) })
	return protocol.RolloutAnswer{Rollout: rollout}, nil
}
