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
	// processRetention is how long after its last call a process is still listed in the
	// roll-out.
	processRetention = 30 * time.Second
)

// settings holds the configuration in force and the version that each process has
// confirmed. It is guarded by leader.mu.
type settings struct {
	// config is the configuration in force, with its defaults filled in.
	config  *api.Config
	version uint64
	// changed is closed and replaced when the configuration changes.
	changed chan struct{}
	// processes holds fronts and agents by name.
	processes map[string]*processEntry
}

// processEntry is the last confirmation by a front or an agent. lastSeen is on the
// monotonic clock.
type processEntry struct {
	role     string
	zone     string
	version  uint64
	lastSeen time.Duration
}

func newSettings() settings {
	return settings{changed: make(chan struct{}), processes: make(map[string]*processEntry)}
}

// set installs a configuration and wakes the callers that wait for a change.
func (s *settings) set(version uint64, config *api.Config) {
	s.config, s.version = config, version
	close(s.changed)
	s.changed = make(chan struct{})
}

// observeWatch records the version that a process confirms. A process that has just
// started and has no configuration yet serves no calls; it is left out until it confirms
// one.
func (s *settings) observeWatch(request protocol.WatchRequest, now time.Duration) {
	if request.ConfigVersion == 0 && s.version > 0 {
		delete(s.processes, request.Process)
		return
	}
	s.confirm(request.Process, processEntry{
		role: request.Role, zone: request.Zone, version: request.ConfigVersion, lastSeen: now,
	})
}

// observeAgent records the version confirmed by the agent that relays a heartbeat.
func (s *settings) observeAgent(request protocol.HeartbeatRequest, now time.Duration) {
	if request.ConfigVersion > 0 {
		s.confirm(request.Agent, processEntry{role: agentRole, zone: request.Zone, version: request.ConfigVersion, lastSeen: now})
	}
}

// confirm replaces the entry of a process.
func (s *settings) confirm(process string, entry processEntry) {
	existing, exists := s.processes[process]
	if !exists {
		existing = &processEntry{}
		s.processes[process] = existing
	}
	*existing = entry
}

// rollout returns the version that each process has confirmed. Complete considers only
// processes seen within watchLease: the others no longer serve. Processes not seen for
// longer than processRetention are removed.
func (s *settings) rollout(now time.Duration) api.Rollout {
	rollout := api.Rollout{Version: s.version, Complete: true, Processes: []api.ProcessRollout{}}
	for name, process := range s.processes {
		age := now - process.lastSeen
		if age > processRetention {
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
