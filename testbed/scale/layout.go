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
	// capacityMargin is the ratio of the fleet's capacity to the usage of the tasks.
	capacityMargin = 1.25

	service       = "work"
	queueBulk     = "bulk"
	queueGangs    = "gangs"
	queueUrgent   = "urgent"
	taskCPUMillis = 1000
	taskMemoryMB  = 256
)

// layout describes all processes of one run, real and hollow.
type layout struct {
	deployment deployment.Deployment
	// hollowSpecs has one entry for each hollow process.
	hollowSpecs []hollow.Spec
	// workers are the real workers, then the hollow ones.
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
	l.addHollowNodes(config.Size, journals)
	return l
}

// listener returns the process of a role with that index. Processes are assigned to the
// zones round robin.
func listener(instance int, role deployment.Role, thirdOctet, port, index int) deployment.Process {
	const octetsPerInstance = 10
	address := fmt.Sprintf("127.%d.%d.%d:%d", instance*octetsPerInstance+index%zones+1, thirdOctet, index/zones+1, port)
	return deployment.Process{Name: nodeName(role, index), Role: role, Zone: zoneName(index), Address: address}
}

func nodeName(role deployment.Role, index int) string { return fmt.Sprintf("%s-%04d", role, index+1) }

func zoneName(index int) string {
	zone := index % zones
	return fmt.Sprintf("region-%d-zone-%d", zone/zonesPerRegion+1, zone%zonesPerRegion+1)
}

// addWorker adds the worker of a node. The index counts all nodes, real ones first.
func (l *layout) addWorker(size Size, index int, agent string) checker.Worker {
	slots := int64(math.Ceil(float64(size.Tasks) * capacityMargin / float64(size.Workers)))
	devices := (index+1)*size.accelerators()/size.Workers - index*size.accelerators()/size.Workers
	worker := checker.Worker{
		Name: nodeName(deployment.RoleWorker, index), Zone: zoneName(index), Agent: agent,
		Capacity: api.Resources{CPUMillis: slots * taskCPUMillis, MemoryMB: slots * taskMemoryMB, Accelerators: int64(devices)},
		Services: []string{service},
		Labels:   map[string]string{deployment.RackLabel: fmt.Sprintf("rack-%d", index/zones)},
	}
	l.workers = append(l.workers, worker)
	return worker
}

func (l *layout) addHollowNodes(size Size, journals string) {
	for index := realNodes; index < size.Workers; index++ {
		if (index-realNodes)%nodesPerProcess == 0 {
			name := fmt.Sprintf("hollow-%02d%s", len(l.hollowSpecs)+1, eventlog.Suffix)
			l.hollowSpecs = append(l.hollowSpecs, hollow.Spec{
				Seeds: l.deployment.Seeds(), Journal: filepath.Join(journals, name), Service: service,
			})
		}
		agent := nodeName(deployment.RoleAgent, index)
		worker := l.addWorker(size, index, agent)
		spec := &l.hollowSpecs[len(l.hollowSpecs)-1]
		spec.Nodes = append(spec.Nodes, hollow.NodeSpec{
			Agent: agent, Worker: worker.Name, Zone: worker.Zone, Capacity: worker.Capacity, Labels: worker.Labels,
		})
	}
}
