package deployment

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
)

// Sizes and ports that all deployments share.
const (
	Zones      = 3
	Schedulers = 3
	Fronts     = 4
	Workers    = 11

	SchedulerPort = 7100
	FrontPort     = 7200
	AgentPort     = 7300

	// MaxInstance is the highest instance number: the second octet of an
	// address is ten times the instance plus the zone.
	MaxInstance = 24

	octetsPerInstance = 10
	// relayOctets is added to the third octet of an address for the one that
	// others reach the process at.
	relayOctets = 100

	// RackLabel is a label that every worker has.
	RackLabel = "rack"
	racks     = 2
)

// Role is the kind of a process.
type Role string

// Roles. The text is also the end of the program's name.
const (
	RoleScheduler Role = "scheduler"
	RoleFront     Role = "front"
	RoleAgent     Role = "agent"
	RoleWorker    Role = "worker"
)

// third is the third octet of the addresses of a role.
func (r Role) third() int {
	switch r {
	case RoleScheduler:
		return 1
	case RoleFront:
		return 2
	default:
		return 3
	}
}

// Process is one process of a deployment.
type Process struct {
	Name string
	Role Role
	Zone string
	// Address is "IP:PORT"; empty for workers, which do not listen.
	Address string
	// AdvertiseAddress is the "IP:PORT" that other processes are given; the emulated
	// network listens there. If it is empty others use Address directly, as callers do
	// with a front.
	AdvertiseAddress string
	// Agent is the base URL of a worker's agent; empty for other roles.
	Agent string
	// Capacity, Services and Labels describe a worker.
	Capacity api.Resources
	Services []string
	Labels   map[string]string
}

// URL is the base URL of a process that listens.
func (p Process) URL() string { return "http://" + p.Address }

// Advertised is the "IP:PORT" at which others reach the process.
func (p Process) Advertised() string {
	if p.AdvertiseAddress != "" {
		return p.AdvertiseAddress
	}
	return p.Address
}

// Deployment is a fleet with its first configuration and its load.
type Deployment struct {
	Name      string
	Instance  int
	Processes []Process
	Config    api.Config
	Shapes    Shapes
}

// ByRole returns the processes of one role in their order.
func (d Deployment) ByRole(role Role) []Process {
	var found []Process
	for _, process := range d.Processes {
		if process.Role == role {
			found = append(found, process)
		}
	}
	return found
}

// FrontURLs returns the base URLs of all fronts.
func (d Deployment) FrontURLs() []string {
	var urls []string
	for _, front := range d.ByRole(RoleFront) {
		urls = append(urls, front.URL())
	}
	return urls
}

// Seeds returns the addresses at which all schedulers are reached.
func (d Deployment) Seeds() []string {
	var addresses []string
	for _, scheduler := range d.ByRole(RoleScheduler) {
		addresses = append(addresses, scheduler.Advertised())
	}
	return addresses
}

// Names lists the deployments that New knows.
func Names() []string { return []string{restrepoName, cartagoName} }

// New returns the deployment of that name. The instance, from 0 to
// MaxInstance, moves all addresses, so that several fleets can run side by
// side.
func New(name string, instance int) (Deployment, error) {
	if instance < 0 || instance > MaxInstance {
		return Deployment{}, fmt.Errorf("instance is %d, expected 0 to %d", instance, MaxInstance)
	}
	switch name {
	case restrepoName:
		return build(name, instance, restrepo()), nil
	case cartagoName:
		return build(name, instance, cartago()), nil
	}
	return Deployment{}, fmt.Errorf("deployment is %q, expected one of %v", name, Names())
}

// profile is what differs between deployments.
type profile struct {
	capacity api.Resources
	services []string
	config   api.Config
	shapes   Shapes
}

func build(name string, instance int, p profile) Deployment {
	d := Deployment{Name: name, Instance: instance, Config: p.config, Shapes: p.shapes}
	d.Processes = append(d.Processes, listeners(RoleScheduler, Schedulers, SchedulerPort, instance)...)
	d.Processes = append(d.Processes, listeners(RoleFront, Fronts, FrontPort, instance)...)
	agents := listeners(RoleAgent, Workers, AgentPort, instance)
	d.Processes = append(d.Processes, agents...)
	for i, agent := range agents {
		d.Processes = append(d.Processes, Process{
			Name:     processName(RoleWorker, i),
			Role:     RoleWorker,
			Zone:     agent.Zone,
			Agent:    agent.URL(),
			Capacity: p.capacity,
			Services: slices.Clone(p.services),
			Labels:   map[string]string{RackLabel: RackName(i%racks + 1)},
		})
	}
	return d
}

// listeners spreads count processes of a role over the zones in turn.
func listeners(role Role, count, port, instance int) []Process {
	processes := make([]Process, 0, count)
	for i := range count {
		zone := i%Zones + 1
		process := Process{
			Name:    processName(role, i),
			Role:    role,
			Zone:    ZoneName(zone),
			Address: address(instance, zone, role.third(), i/Zones+1, port),
		}
		if role != RoleFront {
			process.AdvertiseAddress = address(instance, zone, role.third()+relayOctets, i/Zones+1, port)
		}
		processes = append(processes, process)
	}
	return processes
}

func address(instance, zone, third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", instance*octetsPerInstance+zone, third, fourth, port)
}

func processName(role Role, index int) string { return fmt.Sprintf("%s-%02d", role, index+1) }

// ZoneName names a zone, counted from 1.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// RackName is the value of RackLabel for a rack, counted from 1.
func RackName(rack int) string { return fmt.Sprintf("rack-%d", rack) }
