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

// errMemoryLimit cancels a run whose processes exceed memoryLimitMB.
var errMemoryLimit = errors.New("the processes of the run exceed the memory limit")

// snapshot has one reading of each process, of the hollow counters and of the machine.
type snapshot struct {
	at              monoclock.Nanos
	leader          string
	realProcesses   map[string]reading
	hollowProcesses []reading
	counters        hollow.Counters
	testBed         reading
	// busy and total are processor seconds of the machine since its start.
	busy, total float64
}

// meter measures all processes of a run. The mutex guards the fields below it.
type meter struct {
	fleet   *fleet.Fleet
	hollows *hollows

	mutex sync.Mutex
	// peakMemory is the highest resident memory in MB since resetMemory, by process
	// name; peakTotalMemory is that of all processes together since the start.
	peakMemory      map[string]float64
	peakTotalMemory float64
}

func newMeter(running *fleet.Fleet, hollows *hollows) *meter {
	return &meter{fleet: running, hollows: hollows, peakMemory: map[string]float64{}}
}

var realRoles = []deployment.Role{
	deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker,
}

// snapshot takes one snapshot.
func (m *meter) snapshot(ctx context.Context) (snapshot, error) {
	current := snapshot{at: monoclock.Now(), realProcesses: map[string]reading{}}
	leader, err := m.fleet.Leader(ctx)
	if err != nil {
		return current, err
	}
	current.leader = leader.Spec.Name
	for _, role := range realRoles {
		for _, process := range m.fleet.ByRole(role) {
			if current.realProcesses[process.Spec.Name], err = readProcess(ctx, process); err != nil {
				return current, err
			}
		}
	}
	for _, process := range m.hollows.processes {
		one, err := readProcfs(process.command.Process.Pid)
		if err != nil {
			return current, fmt.Errorf("read hollow process: %w", err)
		}
		current.hollowProcesses = append(current.hollowProcesses, one)
	}
	if current.counters, err = m.hollows.counters(); err != nil {
		return current, err
	}
	if current.testBed, err = readProcfs(os.Getpid()); err != nil {
		return current, err
	}
	return current, current.readMachine()
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

// watchMemory samples the memory every memoryInterval. It returns nil when ctx ends and
// errMemoryLimit when the limit is exceeded.
func (m *meter) watchMemory(ctx context.Context) error {
	for {
		if m.sampleMemory() > memoryLimitMB {
			return errMemoryLimit
		}
		if !contexttime.Sleep(ctx, memoryInterval) {
			return nil
		}
	}
}

func (m *meter) sampleMemory() float64 {
	sum := residentMB(os.Getpid())
	resident := map[string]float64{}
	for _, role := range realRoles {
		for _, process := range m.fleet.ByRole(role) {
			resident[process.Spec.Name] = residentMB(process.PID())
		}
	}
	for index, process := range m.hollows.processes {
		resident[hollowName(index)] = residentMB(process.command.Process.Pid)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, memory := range resident {
		sum += memory
		m.peakMemory[name] = max(m.peakMemory[name], memory)
	}
	m.peakTotalMemory = max(m.peakTotalMemory, sum)
	return sum
}

func hollowName(index int) string { return fmt.Sprintf("hollow-%02d", index+1) }

// resetMemory discards the peak memory of each process. The peak of the total stays.
func (m *meter) resetMemory() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.peakMemory)
}

// usages returns the usage of each role between two snapshots. The leader of the second
// one counts as the leader. The caller holds the mutex.
func (m *meter) usages(from, to snapshot) []RoleUsage {
	groups := map[Role][]RoleUsage{}
	for _, role := range realRoles {
		for _, process := range m.fleet.ByRole(role) {
			name := process.Spec.Name
			usageRole := roleOf(role, name == to.leader)
			usage := usageBetween(from.realProcesses[name], to.realProcesses[name])
			usage.MemoryMaxMB = m.peakMemory[name]
			groups[usageRole] = append(groups[usageRole], usage)
		}
	}
	var usages []RoleUsage
	for _, role := range []Role{RoleLeader, RoleFollower, RoleFront, RoleAgent, RoleWorker} {
		usages = append(usages, mean(role, groups[role]))
	}
	return usages
}

func roleOf(role deployment.Role, isLeader bool) Role {
	switch {
	case role == deployment.RoleScheduler && isLeader:
		return RoleLeader
	case role == deployment.RoleScheduler:
		return RoleFollower
	default:
		return Role(role)
	}
}

// usageBetween returns the usage of one process between two readings.
func usageBetween(from, to reading) RoleUsage {
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

// meanFields returns the fields of which mean computes the mean.
func (u *RoleUsage) meanFields() []*float64 {
	return []*float64{
		&u.CPU, &u.Served, &u.Made, &u.ServedIn, &u.ServedOut, &u.WireIn, &u.WireOut, &u.Read, &u.Written, &u.Disk,
		&u.Entries, &u.Heartbeats, &u.Watches, &u.SaveMillis, &u.PlanMillis,
		&u.Jobs, &u.Pending, &u.Running, &u.Workers, &u.Watching, &u.HeapMB,
	}
}

func mean(role Role, usages []RoleUsage) RoleUsage {
	sum := RoleUsage{Role: role, Processes: len(usages)}
	for _, usage := range usages {
		for index, field := range usage.meanFields() {
			*sum.meanFields()[index] += *field / float64(len(usages))
		}
		sum.CPUMax = max(sum.CPUMax, usage.CPUMax)
		sum.MemoryMaxMB = max(sum.MemoryMaxMB, usage.MemoryMaxMB)
	}
	return sum
}

// hollowUsage returns the mean usage of a hollow node between two snapshots. The caller
// holds the mutex.
func (m *meter) hollowUsage(from, to snapshot) HollowUsage {
	usage := HollowUsage{Nodes: m.hollows.nodes(), Processes: len(m.hollows.processes)}
	nodeSeconds := to.at.Sub(from.at).Seconds() * float64(usage.Nodes)
	usage.Heartbeats = float64(to.counters.Heartbeats-from.counters.Heartbeats) / nodeSeconds
	usage.Watches = (to.counters.Calls["watch"] - from.counters.Calls["watch"]) / nodeSeconds
	usage.WireIn = (to.counters.ReceivedBytes - from.counters.ReceivedBytes) / nodeSeconds
	usage.WireOut = (to.counters.SentBytes - from.counters.SentBytes) / nodeSeconds
	for index := range to.hollowProcesses {
		usage.CPU += (to.hollowProcesses[index].cpu - from.hollowProcesses[index].cpu) / nodeSeconds
		usage.MemoryMB += m.peakMemory[hollowName(index)] / float64(usage.Nodes)
	}
	return usage
}

// totalCPU returns the processor time of all processes of the run between two
// snapshots, this process included, in cores.
func totalCPU(from, to snapshot) float64 {
	sum := to.testBed.cpu - from.testBed.cpu
	for _, name := range slices.Collect(maps.Keys(to.realProcesses)) {
		sum += to.realProcesses[name].cpu - from.realProcesses[name].cpu
	}
	for index := range to.hollowProcesses {
		sum += to.hollowProcesses[index].cpu - from.hollowProcesses[index].cpu
	}
	return sum / to.at.Sub(from.at).Seconds()
}
