package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// agentRole is the role of the processes that relay heartbeats.
	agentRole = "agent"
	// forgetProcessAfter drops a process that was not seen from the roll-out.
	forgetProcessAfter = 30 * time.Second
)

// settings holds the configuration in force, and which processes have confirmed
// which version of it.
type settings struct {
	// config has its defaults filled in.
	config  *api.Config
	version uint64
	// changed is closed when the configuration changes.
	changed   chan struct{}
	processes map[string]*processEntry
}

// processEntry is what a front or an agent last said.
type processEntry struct {
	role     string
	zone     string
	version  uint64
	lastSeen time.Duration
}

func newSettings() settings {
	return settings{changed: make(chan struct{}), processes: make(map[string]*processEntry)}
}

// set takes over a configuration, and wakes those that wait for a change.
func (s *settings) set(version uint64, config *api.Config) {
	s.config, s.version = config, version
	close(s.changed)
	s.changed = make(chan struct{})
}

// observeWatch records what a process has in force. A process that has just started
// and knows no configuration yet serves nobody, and is recorded once it confirms its
// first.
func (s *settings) observeWatch(request protocol.WatchRequest, now time.Duration) {
	if request.ConfigVersion == 0 && s.version > 0 {
		delete(s.processes, request.Process)
		return
	}
	s.confirm(request.Process, processEntry{
		role: request.Role, zone: request.Zone, version: request.ConfigVersion, lastSeen: now,
	})
}

// observeAgent records what the agent that relays a heartbeat has in force.
func (s *settings) observeAgent(request protocol.HeartbeatRequest, now time.Duration) {
	if request.ConfigVersion > 0 {
		s.confirm(request.Agent, processEntry{role: agentRole, zone: request.Zone, version: request.ConfigVersion, lastSeen: now})
	}
}

// confirm records what a process has in force.
func (s *settings) confirm(process string, entry processEntry) {
	known, exists := s.processes[process]
	if !exists {
		known = &processEntry{}
		s.processes[process] = known
	}
	*known = entry
}

// rollout says which process has which version. Complete counts only processes that
// were seen within their lease: others have stopped serving.
func (s *settings) rollout(now time.Duration) api.Rollout {
	rollout := api.Rollout{Version: s.version, Complete: true, Processes: []api.ProcessRollout{}}
	for name, process := range s.processes {
		age := now - process.lastSeen
		if age > forgetProcessAfter {
			delete(s.processes, name)
			continue
		}
		if age <= watchLease && process.version != s.version {
			rollout.Complete = false
		}
		rollout.Processes = append(rollout.Processes, api.ProcessRollout{
			Process: name, Role: process.role, Zone: process.zone, Version: process.version, AgeMillis: age.Milliseconds(),
		})
	}
	slices.SortFunc(rollout.Processes, func(a, b api.ProcessRollout) int { return strings.Compare(a.Process, b.Process) })
	return rollout
}
