package scale

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/procfs"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/hollow"
	"github.com/decklever/decklever/testbed/monoclock"
)

const memoryInterval = time.Second

// errMemory ends a run that takes too much of the machine.
var errMemory = errors.New("the processes of the run take more memory than allowed")

// snapshot is one reading of everything.
type snapshot struct {
	at       monoclock.Nanos
	leader   string
	real     map[string]reading
	hollow   []reading
	counters hollow.Counters
	self     reading
	// busy and total are processor seconds of the machine.
	busy, total float64
}

// meter reads all processes of a run.
type meter struct {
	fleet   *fleet.Fleet
	hollows *hollows

	mutex sync.Mutex
	// memory is the highest resident memory of each process, by name.
	memory map[string]float64
	total  float64
}

func newMeter(running *fleet.Fleet, hollows *hollows) *meter {
	return &meter{fleet: running, hollows: hollows, memory: map[string]float64{}}
}

var realRoles = []deployment.Role{
	deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker,
}

// snapshot reads everything once.
func (m *meter) snapshot(ctx context.Context) (snapshot, error) {
	taken := snapshot{at: monoclock.Now(), real: map[string]reading{}}
	leader, err := m.fleet.Leader(ctx)
	if err != nil {
		return taken, err
	}
	taken.leader = leader.Spec.Name
	for _, role := range realRoles {
		for _, process := range m.fleet.ByRole(role) {
			if taken.real[process.Spec.Name], err = readProcess(ctx, process); err != nil {
				return taken, err
			}
		}
	}
	for _, process := range m.hollows.processes {
		one, err := readSystem(process.command.Process.Pid)
		if err != nil {
			return taken, fmt.Errorf("read hollow process: %w", err)
		}
		taken.hollow = append(taken.hollow, one)
	}
	if taken.counters, err = m.hollows.counters(); err != nil {
		return taken, err
	}
	if taken.self, err = readSystem(os.Getpid()); err != nil {
		return taken, err
	}
	return taken, taken.readMachine()
}

func (s *snapshot) readMachine() error {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return err
	}
	stat, err := system.Stat()
	if err != nil {
		return err
	}
	cpu := stat.CPUTotal
	idle := cpu.Idle + cpu.Iowait
	s.busy = cpu.User + cpu.Nice + cpu.System + cpu.IRQ + cpu.SoftIRQ
	s.total = s.busy + idle + cpu.Steal
	return nil
}

// watchMemory samples until the context ends, or the limit is passed.
func (m *meter) watchMemory(ctx context.Context) error {
	for {
		if m.sampleMemory() > memoryLimitMB {
			return errMemory
		}
		if !contexttime.Sleep(ctx, memoryInterval) {
			return nil
		}
	}
}

func (m *meter) sampleMemory() float64 {
	sum := residentMB(os.Getpid())
	found := map[string]float64{}
	for _, role := range realRoles {
		for _, process := range m.fleet.ByRole(role) {
			found[process.Spec.Name] = residentMB(process.PID())
		}
	}
	for index, process := range m.hollows.processes {
		found[hollowName(index)] = residentMB(process.command.Process.Pid)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, memory := range found {
		sum += memory
		m.memory[name] = max(m.memory[name], memory)
	}
	m.total = max(m.total, sum)
	return sum
}

func hollowName(index int) string { return fmt.Sprintf("hollow-%02d", index+1) }

// resetMemory restarts the sampling.
func (m *meter) resetMemory() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.memory)
}

// usages compares two snapshots, role by role.
func (m *meter) usages(from, to snapshot) []RoleUsage {
	groups := map[Role][]RoleUsage{}
	for _, role := range realRoles {
		for _, process := range m.fleet.ByRole(role) {
			name := process.Spec.Name
			seen := roleOf(role, name == to.leader)
			usage := difference(from.real[name], to.real[name])
			usage.MemoryMaxMB = m.memory[name]
			groups[seen] = append(groups[seen], usage)
		}
	}
	var usages []RoleUsage
	for _, role := range []Role{RoleLeader, RoleFollower, RoleFront, RoleAgent, RoleWorker} {
		usages = append(usages, mean(role, groups[role]))
	}
	return usages
}

func roleOf(role deployment.Role, leads bool) Role {
	switch {
	case role == deployment.RoleScheduler && leads:
		return RoleLeader
	case role == deployment.RoleScheduler:
		return RoleFollower
	default:
		return Role(role)
	}
}

// difference is what one process took from one reading to the next.
func difference(from, to reading) RoleUsage {
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(name string, labels ...string) float64 {
		return (to.metric(name, labels...) - from.metric(name, labels...)) / seconds
	}
	average := func(name string) float64 {
		count := rate(name + "_count")
		if count == 0 {
			return 0
		}
		return rate(name+"_sum") / count * 1000
	}
	const calls, bodies, wire = "decklever_rpc_calls_total", "decklever_rpc_body_bytes_total", "decklever_rpc_wire_bytes_total"
	return RoleUsage{
		Processes: 1, CPU: (to.cpu - from.cpu) / seconds, CPUMax: (to.cpu - from.cpu) / seconds,
		Served: rate(calls, "side=server"), Made: rate(calls, "side=client"),
		ServedIn: rate(bodies, "side=server", "direction=received"), ServedOut: rate(bodies, "side=server", "direction=sent"),
		WireIn: rate(wire, "direction=received"), WireOut: rate(wire, "direction=sent"),
		Read: (to.read - from.read) / seconds, Written: (to.written - from.written) / seconds, Disk: (to.disk - from.disk) / seconds,
		Entries:    rate("decklever_replica_commit_index"),
		Heartbeats: rate(calls, "side=server", "method=heartbeat"), Watches: rate(calls, "side=server", "method=watch"),
		SaveMillis: average("decklever_replica_save_seconds"), PlanMillis: average("decklever_scheduler_plan_seconds"),
		Jobs: to.metric("decklever_state_jobs"), Pending: to.metric("decklever_state_pending_tasks"),
		Running: to.metric("decklever_state_open_runs"), Workers: to.metric("decklever_state_worker_incarnations"),
		Watching: to.metric("decklever_state_watching_processes"), HeapMB: to.metric("go_memstats_heap_inuse_bytes") / bytesPerMB,
	}
}

// fields lists the numbers of a usage that a mean is taken of.
func (u *RoleUsage) fields() []*float64 {
	return []*float64{
		&u.CPU, &u.Served, &u.Made, &u.ServedIn, &u.ServedOut, &u.WireIn, &u.WireOut, &u.Read, &u.Written, &u.Disk,
		&u.Entries, &u.Heartbeats, &u.Watches, &u.SaveMillis, &u.PlanMillis,
		&u.Jobs, &u.Pending, &u.Running, &u.Workers, &u.Watching, &u.HeapMB,
	}
}

func mean(role Role, usages []RoleUsage) RoleUsage {
	sum := RoleUsage{Role: role, Processes: len(usages)}
	for _, usage := range usages {
		for index, field := range usage.fields() {
			*sum.fields()[index] += *field / float64(len(usages))
		}
		sum.CPUMax = max(sum.CPUMax, usage.CPUMax)
		sum.MemoryMaxMB = max(sum.MemoryMaxMB, usage.MemoryMaxMB)
	}
	return sum
}

// hollowUsage is the mean for one hollow node.
func (m *meter) hollowUsage(from, to snapshot) HollowUsage {
	usage := HollowUsage{Nodes: m.hollows.nodes(), Processes: len(m.hollows.processes)}
	share := to.at.Sub(from.at).Seconds() * float64(usage.Nodes)
	usage.Heartbeats = float64(to.counters.Heartbeats-from.counters.Heartbeats) / share
	usage.Watches = (to.counters.Calls["watch"] - from.counters.Calls["watch"]) / share
	usage.WireIn = (to.counters.ReceivedBytes - from.counters.ReceivedBytes) / share
	usage.WireOut = (to.counters.SentBytes - from.counters.SentBytes) / share
	for index := range to.hollow {
		usage.CPU += (to.hollow[index].cpu - from.hollow[index].cpu) / share
		usage.MemoryMB += m.memory[hollowName(index)] / float64(usage.Nodes)
	}
	return usage
}

// totalCPU is the share of a core that all processes of the run took.
func totalCPU(from, to snapshot) float64 {
	sum := to.self.cpu - from.self.cpu
	for _, name := range slices.Collect(maps.Keys(to.real)) {
		sum += to.real[name].cpu - from.real[name].cpu
	}
	for index := range to.hollow {
		sum += to.hollow[index].cpu - from.hollow[index].cpu
	}
	return sum / to.at.Sub(from.at).Seconds()
}
