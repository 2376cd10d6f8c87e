package deployment

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
)

// Sizes and ports common to all deployments.
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
	// relayOctetOffset is added to the third octet of a process's address to get its
	// advertised address.
	relayOctetOffset = 100

	// RackLabel is the key of a label that every worker has.
	RackLabel = "rack"
	rackCount = 2
)

// Role is the kind of a process.
type Role string

// Roles. The value is also the suffix of the program's name.
const (
	RoleScheduler Role = "scheduler"
	RoleFront     Role = "front"
	RoleAgent     Role = "agent"
	RoleWorker    Role = "worker"
)

// thirdOctet returns the third octet of the addresses of a role.
func (r Role) thirdOctet() int {
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
	// Address is the "IP:PORT" that the process listens on; empty for workers, which
	// do not listen.
	Address string
	// AdvertiseAddress is the "IP:PORT" that other processes connect to; the emulated
	// network listens there and relays to Address. If it is empty, as for fronts,
	// clients connect to Address directly.
	AdvertiseAddress string
	// Agent is the base URL of a worker's agent; empty for other roles.
	Agent string
	// Capacity, Services and Labels describe a worker.
	Capacity api.Resources
	Services []string
	Labels   map[string]string
}

// URL returns the base URL of a process that listens.
func (p Process) URL() string { return "http://" + p.Address }

// Advertised returns the "IP:PORT" that other processes connect to.
func (p Process) Advertised() string {
	if p.AdvertiseAddress != "" {
		return p.AdvertiseAddress
	}
	return p.Address
}

// Deployment is a fleet with its initial configuration and its load.
type Deployment struct {
	Name      string
	Instance  int
	Processes []Process
	Config    api.Config
	Shapes    Shapes
}

// ByRole returns the processes of one role, in the order of Processes.
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

// Seeds returns the advertised addresses of all schedulers.
func (d Deployment) Seeds() []string {
	var addresses []string
	for _, scheduler := range d.ByRole(RoleScheduler) {
		addresses = append(addresses, scheduler.Advertised())
	}
	return addresses
}

// Names returns the names that New accepts.
func Names() []string { return []string{restrepoName, cartagoName} }

// New returns the named deployment. The instance, from 0 to MaxInstance, selects the
// address range, so that several fleets can run at the same time. An unknown name or
// an instance out of range is an error.
func New(name string, instance int) (Deployment, error) {
	if instance < 0 || instance > MaxInstance {
		return Deployment{}, fmt.Errorf("instance is %d, expected 0 to %d", instance, MaxInstance)
	}
	switch name {
	case restrepoName:
		return newDeployment(name, instance, restrepo()), nil
	case cartagoName:
		return newDeployment(name, instance, cartago()), nil
	}
	return Deployment{}, fmt.Errorf("deployment is %q, expected one of %v", name, Names())
}

// profile holds the settings that differ between deployments.
type profile struct {
	capacity api.Resources
	services []string
	config   api.Config
	shapes   Shapes
}

func newDeployment(name string, instance int, p profile) Deployment {
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
			Labels:   map[string]string{RackLabel: RackName(i%rackCount + 1)},
		})
	}
	return d
}

// listeners returns count processes of a role, assigned to the zones round robin.
func listeners(role Role, count, port, instance int) []Process {
	processes := make([]Process, 0, count)
	for i := range count {
		zone := i%Zones + 1
		process := Process{
			Name:    processName(role, i),
			Role:    role,
			Zone:    ZoneName(zone),
			Address: address(instance, zone, role.thirdOctet(), i/Zones+1, port),
		}
		if role != RoleFront {
			process.AdvertiseAddress = address(instance, zone, role.thirdOctet()+relayOctetOffset, i/Zones+1, port)
		}
		processes = append(processes, process)
	}
	return processes
}

func address(instance, zone, thirdOctet, fourthOctet, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", instance*octetsPerInstance+zone, thirdOctet, fourthOctet, port)
}

func processName(role Role, index int) string { return fmt.Sprintf("%s-%02d", role, index+1) }

// ZoneName returns the name of a zone, counted from 1.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// RackName returns the value of RackLabel for a rack, counted from 1.
func RackName(rack int) string { return fmt.Sprintf("rack-%d", rack) }
