package fleet

import (
	"net"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/netem"
)

// zoneDelay is the one-way delay between two zones.
const zoneDelay = 500 * time.Microsecond

// openNetwork starts the emulated network between the processes. Callers connect to the
// fronts directly, without it.
func (f *Fleet) openNetwork() error {
	config := netem.Config{Sources: map[string]string{}, Delay: f.linkDelay, Seed: f.config.Seed}
	for _, process := range f.processes {
		spec := process.Spec
		if spec.Address != "" {
			config.Sources[hostOf(spec.Address)] = spec.Name
		}
		if spec.AdvertiseAddress != "" {
			config.Routes = append(config.Routes, netem.Route{
				Name: spec.Name, Listen: spec.AdvertiseAddress, Target: spec.Address, Source: f.workerOf(spec),
			})
		}
	}
	var err error
	f.network, err = netem.New(config)
	return err
}

// workerOf returns the name of an agent's worker; empty for other roles.
func (f *Fleet) workerOf(agent deployment.Process) string {
	if agent.Role != deployment.RoleAgent {
		return ""
	}
	for _, process := range f.processes {
		if process.Spec.Agent == agent.URL() {
			return process.Spec.Name
		}
	}
	return ""
}

// AgentOf returns the agent of a worker, or nil if there is none.
func (f *Fleet) AgentOf(worker *Process) *Process {
	for _, process := range f.processes {
		if process.Spec.Role == deployment.RoleAgent && process.Spec.URL() == worker.Spec.Agent {
			return process
		}
	}
	return nil
}

// linkDelay returns the delay of a link without faults: zoneDelay between zones, otherwise 0.
func (f *Fleet) linkDelay(link netem.Link) time.Duration {
	from, to := f.byName[link.From], f.byName[link.To]
	if from == nil || to == nil || from.Spec.Zone == to.Spec.Zone {
		return 0
	}
	return zoneDelay
}

// fleetSettings returns the settings of a process that do not come from its own entry in
// the deployment.
func (f *Fleet) fleetSettings(spec deployment.Process) fleetSettings {
	choices := fleetSettings{seeds: f.config.Deployment.Seeds(), logLevel: f.config.LogLevel}
	for _, agent := range f.config.Deployment.ByRole(deployment.RoleAgent) {
		if spec.Agent == agent.URL() {
			choices.agentURL = "http://" + agent.Advertised()
		}
	}
	return choices
}

// Partition blocks all data on the links, and new connections over them, until the
// returned function is called.
func (f *Fleet) Partition(links ...netem.Link) (heal func()) {
	f.recordLinkFaults(calllog.ActionPartition, links)
	end := f.network.Partition(links...)
	return func() {
		end()
		f.recordLinkFaults(calllog.ActionHeal, links)
	}
}

// Stall buffers the data sent on the links until the returned function is called, which
// forwards it in order.
func (f *Fleet) Stall(links ...netem.Link) (release func()) {
	f.recordLinkFaults(calllog.ActionStall, links)
	end := f.network.Stall(links...)
	return func() {
		end()
		f.recordLinkFaults(calllog.ActionEndStall, links)
	}
}

// Reorder delays each chunk of data sent on the links with that probability, by a random
// time of at most maxDelay, until the returned function is called.
func (f *Fleet) Reorder(probability float64, maxDelay time.Duration, links ...netem.Link) (end func()) {
	f.recordLinkFaults(calllog.ActionReorder, links)
	stop := f.network.Reorder(probability, maxDelay, links...)
	return func() {
		stop()
		f.recordLinkFaults(calllog.ActionEndReorder, links)
	}
}

// ResetConnections resets all open connections that use the links.
func (f *Fleet) ResetConnections(links ...netem.Link) {
	f.network.Reset(links...)
	f.recordLinkFaults(calllog.ActionReset, links)
}

// recordLinkFaults records an action on each link in the call log.
func (f *Fleet) recordLinkFaults(action calllog.Action, links []netem.Link) {
	now := monoclock.Now()
	for _, link := range links {
		f.config.CallLog.Add(calllog.Entry{
			Kind: calllog.KindFault, Sent: now, Answered: now,
			Process: link.From, Peer: link.To, Action: action, Expected: true,
		})
	}
}

// LinksBetween returns the links, in both directions, between each process of one list and
// each of the other, except from a process to itself.
func LinksBetween(group, others []*Process) []netem.Link {
	var links []netem.Link
	for _, from := range group {
		for _, to := range others {
			if from != to {
				links = append(links, netem.BothDirections(from.Spec.Name, to.Spec.Name)...)
			}
		}
	}
	return links
}

// ZoneLinks returns all links, in both directions, between a zone and the others. One end
// is always a scheduler, as only schedulers receive connections from other zones.
func (f *Fleet) ZoneLinks(zone string) []netem.Link {
	inside, outside := f.InZone(zone, true), f.InZone(zone, false)
	var links []netem.Link
	for _, link := range LinksBetween(inside, outside) {
		if f.byName[link.From].Spec.Role == deployment.RoleScheduler || f.byName[link.To].Spec.Role == deployment.RoleScheduler {
			links = append(links, link)
		}
	}
	return links
}

// InZone returns the processes of a zone or, if inside is false, those of all other zones.
func (f *Fleet) InZone(zone string, inside bool) []*Process {
	var found []*Process
	for _, process := range f.processes {
		if (process.Spec.Zone == zone) == inside {
			found = append(found, process)
		}
	}
	return found
}

// hostOf returns the host of a host:port address; empty if the address is invalid.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
