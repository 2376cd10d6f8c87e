package fleet

import (
	"net"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/netem"
)

// zoneDelay is the delay of data from one zone to another, one way.
const zoneDelay = 500 * time.Microsecond

// openNetwork starts the emulated network between the processes. Callers reach the
// fronts directly.
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

// workerOf names the worker of an agent; empty for other processes.
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

// AgentOf returns the agent of a worker, or nil.
func (f *Fleet) AgentOf(worker *Process) *Process {
	for _, process := range f.processes {
		if process.Spec.Role == deployment.RoleAgent && process.Spec.URL() == worker.Spec.Agent {
			return process
		}
	}
	return nil
}

// linkDelay is the delay between two processes without a fault.
func (f *Fleet) linkDelay(link netem.Link) time.Duration {
	from, to := f.byName[link.From], f.byName[link.To]
	if from == nil || to == nil || from.Spec.Zone == to.Spec.Zone {
		return 0
	}
	return zoneDelay
}

// settingsChoices returns what the settings file of a process says beyond the
// deployment.
func (f *Fleet) settingsChoices(spec deployment.Process) settingsChoices {
	choices := settingsChoices{seeds: f.config.Deployment.Seeds(), logLevel: f.config.LogLevel}
	for _, agent := range f.config.Deployment.ByRole(deployment.RoleAgent) {
		if spec.Agent == agent.URL() {
			choices.agentURL = "http://" + agent.Advertised()
		}
	}
	return choices
}

// Partition blocks all data on the links and new connections over them, until the
// returned function is called.
func (f *Fleet) Partition(links ...netem.Link) (heal func()) {
	f.recordLinkFaults(calllog.ActionPartition, links)
	end := f.network.Partition(links...)
	return func() {
		end()
		f.recordLinkFaults(calllog.ActionHeal, links)
	}
}

// Stall holds what is sent on the links until the returned function is called: then it
// is forwarded in order.
func (f *Fleet) Stall(links ...netem.Link) (release func()) {
	f.recordLinkFaults(calllog.ActionStall, links)
	end := f.network.Stall(links...)
	return func() {
		end()
		f.recordLinkFaults(calllog.ActionEndStall, links)
	}
}

// Reorder delays chunks of what is sent on the links with a probability, each by a time
// drawn up to maxDelay, until the returned function is called.
func (f *Fleet) Reorder(probability float64, maxDelay time.Duration, links ...netem.Link) (end func()) {
	f.recordLinkFaults(calllog.ActionReorder, links)
	stop := f.network.Reorder(probability, maxDelay, links...)
	return func() {
		stop()
		f.recordLinkFaults(calllog.ActionEndReorder, links)
	}
}

// ResetConnections resets the connections that use the links now.
func (f *Fleet) ResetConnections(links ...netem.Link) {
	f.network.Reset(links...)
	f.recordLinkFaults(calllog.ActionReset, links)
}

func (f *Fleet) recordLinkFaults(action calllog.Action, links []netem.Link) {
	now := monoclock.Now()
	for _, link := range links {
		f.config.CallLog.Add(calllog.Entry{
			Kind: calllog.KindFault, Sent: now, Answered: now,
			Process: link.From, Peer: link.To, Action: action, Expected: true,
		})
	}
}

// LinksBetween returns both directions between each process of one list and
// each of another; those of a process to itself are left out.
func LinksBetween(some, others []*Process) []netem.Link {
	var links []netem.Link
	for _, one := range some {
		for _, other := range others {
			if one != other {
				links = append(links, netem.BothDirections(one.Spec.Name, other.Spec.Name)...)
			}
		}
	}
	return links
}

// ZoneLinks returns both directions of each link that leaves a zone. Only
// schedulers are reached from other zones, so one end is a scheduler.
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

// InZone returns the processes of a zone; with inside false those of all
// others.
func (f *Fleet) InZone(zone string, inside bool) []*Process {
	var found []*Process
	for _, process := range f.processes {
		if (process.Spec.Zone == zone) == inside {
			found = append(found, process)
		}
	}
	return found
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
