package fleet

import (
	"net"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/netem"
)

// zoneDelay is how long data takes from one zone to another, one way.
const zoneDelay = 500 * time.Microsecond

// openLinks starts the relays between the processes. Callers reach the fronts
// without any.
func (f *Fleet) openLinks() error {
	config := netem.Config{Sources: map[string]string{}, Delay: f.linkDelay, Seed: f.config.Seed}
	for _, process := range f.processes {
		spec := process.Spec
		if spec.Address != "" {
			config.Sources[hostOf(spec.Address)] = spec.Name
		}
		if spec.Reach != "" {
			config.Routes = append(config.Routes, netem.Route{
				Name: spec.Name, Listen: spec.Reach, Target: spec.Address, Source: f.workerOf(spec),
			})
		}
	}
	var err error
	f.links, err = netem.New(config)
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

// linkDelay is the delay between two processes in their usual state.
func (f *Fleet) linkDelay(link netem.Link) time.Duration {
	from, to := f.byName[link.From], f.byName[link.To]
	if from == nil || to == nil || from.Spec.Zone == to.Spec.Zone {
		return 0
	}
	return zoneDelay
}

// choices is what the settings file of a process says beyond the deployment.
func (f *Fleet) choices(spec deployment.Process) settingsChoices {
	choices := settingsChoices{seeds: f.config.Deployment.Seeds(), logLevel: f.config.LogLevel}
	for _, agent := range f.config.Deployment.ByRole(deployment.RoleAgent) {
		if spec.Agent == agent.URL() {
			choices.agentURL = "http://" + agent.Reached()
		}
	}
	return choices
}

// Cut lets nothing pass on the links and no connection come about over them,
// until the returned function is called.
func (f *Fleet) Cut(links ...netem.Link) (heal func()) {
	f.noteLinks(calllog.ActionCut, links)
	end := f.links.Cut(links...)
	return func() {
		end()
		f.noteLinks(calllog.ActionHeal, links)
	}
}

// Hold keeps back what is sent on the links, until the returned function is
// called: then it is passed on in order.
func (f *Fleet) Hold(links ...netem.Link) (release func()) {
	f.noteLinks(calllog.ActionHold, links)
	end := f.links.Hold(links...)
	return func() {
		end()
		f.noteLinks(calllog.ActionRelease, links)
	}
}

// Cross holds up a share of what is sent on the links, each piece for a time
// drawn up to atMost, until the returned function is called.
func (f *Fleet) Cross(share float64, atMost time.Duration, links ...netem.Link) (end func()) {
	f.noteLinks(calllog.ActionCross, links)
	stop := f.links.Cross(share, atMost, links...)
	return func() {
		stop()
		f.noteLinks(calllog.ActionUncross, links)
	}
}

// Drop resets the connections that use the links now.
func (f *Fleet) Drop(links ...netem.Link) {
	f.links.Drop(links...)
	f.noteLinks(calllog.ActionDrop, links)
}

func (f *Fleet) noteLinks(action calllog.Action, links []netem.Link) {
	now := monoclock.Now()
	for _, link := range links {
		f.config.Ledger.Add(calllog.Entry{
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
				links = append(links, netem.Both(one.Spec.Name, other.Spec.Name)...)
			}
		}
	}
	return links
}

// LinksOfZone returns both directions of each link that leaves a zone. Only
// schedulers are reached from other zones, so one end is a scheduler.
func (f *Fleet) LinksOfZone(zone string) []netem.Link {
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
