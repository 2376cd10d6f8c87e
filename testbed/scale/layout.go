package scale

import (
	"fmt"
	"math"
	"path/filepath"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/hollow"
)

const (
	regions        = 2
	zonesPerRegion = 4
	zones          = regions * zonesPerRegion
	// capacityMargin is the factor by which capacity exceeds what the tasks use.
	capacityMargin = 1.25

	service     = "work"
	queueBulk   = "bulk"
	queueGangs  = "gangs"
	queueUrgent = "urgent"
	taskCPU     = 1000
	taskMemory  = 256
)

// layout is all processes, real and hollow, of one run.
type layout struct {
	deployment deployment.Deployment
	// hollow has one Spec for each hollow process.
	hollow []hollow.Spec
	// workers are real and hollow ones.
	workers []checker.Worker
}

func newLayout(config Config, journals string) layout {
	l := layout{deployment: deployment.Deployment{
		Name: "scale", Instance: config.Instance,
		Config: api.Config{Queues: []api.QueueConfig{
			{Name: queueBulk}, {Name: queueGangs, Priority: 100}, {Name: queueUrgent, Priority: 900},
		}},
	}}
	add := func(processes ...deployment.Process) {
		l.deployment.Processes = append(l.deployment.Processes, processes...)
	}
	for index := range deployment.Schedulers {
		add(listener(config.Instance, deployment.RoleScheduler, 1, deployment.SchedulerPort, index))
	}
	for index := range deployment.Fronts {
		add(listener(config.Instance, deployment.RoleFront, 2, deployment.FrontPort, index))
	}
	for index := range realNodes {
		agent := listener(config.Instance, deployment.RoleAgent, 3, deployment.AgentPort, index)
		worker := l.addWorker(config.Size, index, agent.Name)
		add(agent, deployment.Process{
			Name: worker.Name, Role: deployment.RoleWorker, Zone: agent.Zone, Agent: agent.URL(),
			Capacity: worker.Capacity, Services: []string{service + "=sleep"}, Labels: worker.Labels,
		})
	}
	l.addHollow(config.Size, journals)
	return l
}

// listener spreads the processes of a role over the zones in turn.
func listener(instance int, role deployment.Role, third, port, index int) deployment.Process {
	const octetsPerInstance = 10
	address := fmt.Sprintf("127.%d.%d.%d:%d", instance*octetsPerInstance+index%zones+1, third, index/zones+1, port)
	return deployment.Process{Name: nodeName(role, index), Role: role, Zone: zoneName(index), Address: address}
}

func nodeName(role deployment.Role, index int) string { return fmt.Sprintf("%s-%04d", role, index+1) }

func zoneName(index int) string {
	zone := index % zones
	return fmt.Sprintf("region-%d-zone-%d", zone/zonesPerRegion+1, zone%zonesPerRegion+1)
}

// addWorker adds the worker of the node with that index, counted over real and hollow
// ones.
func (l *layout) addWorker(size Size, index int, agent string) checker.Worker {
	slots := int64(math.Ceil(float64(size.Tasks) * capacityMargin / float64(size.Workers)))
	devices := (index+1)*size.accelerators()/size.Workers - index*size.accelerators()/size.Workers
	worker := checker.Worker{
		Name: nodeName(deployment.RoleWorker, index), Zone: zoneName(index), Agent: agent,
		Capacity: api.Resources{CPUMillis: slots * taskCPU, MemoryMB: slots * taskMemory, Accelerators: int64(devices)},
		Services: []string{service},
		Labels:   map[string]string{deployment.RackLabel: fmt.Sprintf("rack-%d", index/zones)},
	}
	l.workers = append(l.workers, worker)
	return worker
}

func (l *layout) addHollow(size Size, journals string) {
	for index := realNodes; index < size.Workers; index++ {
		if (index-realNodes)%nodesPerProcess == 0 {
			name := fmt.Sprintf("hollow-%02d%s", len(l.hollow)+1, eventlog.Suffix)
			l.hollow = append(l.hollow, hollow.Spec{
				Seeds: l.deployment.Seeds(), Journal: filepath.Join(journals, name), Service: service,
			})
		}
		agent := nodeName(deployment.RoleAgent, index)
		worker := l.addWorker(size, index, agent)
		spec := &l.hollow[len(l.hollow)-1]
		spec.Nodes = append(spec.Nodes, hollow.NodeSpec{
			Agent: agent, Worker: worker.Name, Zone: worker.Zone, Capacity: worker.Capacity, Labels: worker.Labels,
		})
	}
}
