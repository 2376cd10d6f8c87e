package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Role is the role of a real process, with schedulers divided into leader and followers.
type Role string

// Roles, in the order in which results list them.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleFront    Role = "front"
	RoleAgent    Role = "agent"
	RoleWorker   Role = "worker"
)

// RoleUsage is the usage of the processes of one role during the window. Values are means
// over the processes unless stated otherwise; rates are per second.
type RoleUsage struct {
	Role      Role `json:"role"`
	Processes int  `json:"processes"`
	// CPU is the processor time in cores; CPUMax is that of the busiest process.
	CPU    float64 `json:"cpu"`
	CPUMax float64 `json:"cpu_max"`
	// MemoryMaxMB is the highest resident memory of any process in the window.
	MemoryMaxMB float64 `json:"memory_max_mb"`
	// Served and Made are RPC calls as a server and as a client.
	Served float64 `json:"rpc_served_per_second"`
	Made   float64 `json:"rpc_made_per_second"`
	// ServedIn and ServedOut are bytes of request and response bodies of served calls,
	// without headers.
	ServedIn  float64 `json:"rpc_served_in_bytes_per_second"`
	ServedOut float64 `json:"rpc_served_out_bytes_per_second"`
	// WireIn and WireOut are bytes on the connections that the process opened to
	// schedulers, headers included.
	WireIn  float64 `json:"wire_in_bytes_per_second"`
	WireOut float64 `json:"wire_out_bytes_per_second"`
	// Read and Written are bytes that the operating system counted for the process,
	// sockets and files together; Disk is the part written to files.
	Read    float64 `json:"read_bytes_per_second"`
	Written float64 `json:"written_bytes_per_second"`
	Disk    float64 `json:"disk_bytes_per_second"`
	// Entries are committed log entries.
	Entries float64 `json:"log_entries_per_second"`
	// Heartbeats and Watches are served calls of these methods.
	Heartbeats float64 `json:"heartbeats_per_second"`
	Watches    float64 `json:"watches_per_second"`
	// SaveMillis is the mean time of a save to disk including its sync, PlanMillis
	// that of a planning pass.
	SaveMillis float64 `json:"save_mean_ms"`
	PlanMillis float64 `json:"plan_mean_ms"`
	// Jobs, Pending, Running, Workers and Watching are the numbers of objects in memory
	// at the end of the window; HeapMB is the Go heap in use then.
	Jobs     float64 `json:"jobs"`
	Pending  float64 `json:"pending_tasks"`
	Running  float64 `json:"open_runs"`
	Workers  float64 `json:"workers"`
	Watching float64 `json:"watching_processes"`
	HeapMB   float64 `json:"heap_mb"`
}

// HollowUsage is the usage of the hollow nodes, as means for one node.
type HollowUsage struct {
	Nodes      int     `json:"nodes"`
	Processes  int     `json:"processes"`
	Heartbeats float64 `json:"heartbeats_per_second"`
	Watches    float64 `json:"watches_per_second"`
	WireIn     float64 `json:"wire_in_bytes_per_second"`
	WireOut    float64 `json:"wire_out_bytes_per_second"`
	// CPU is processor time in cores and MemoryMB resident memory, of the agent and
	// the worker of one node together. Both are smaller than those of real nodes,
	// since the nodes share a process.
	CPU      float64 `json:"cpu"`
	MemoryMB float64 `json:"memory_mb"`
}

// Delays are percentiles in milliseconds.
type Delays struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// delaysOf returns the percentiles of the delays; zero if there are none.
func delaysOf(delays []time.Duration) Delays {
	if len(delays) == 0 {
		return Delays{}
	}
	sorted := slices.Sorted(slices.Values(delays))
	at := func(percent int) float64 {
		return millis(sorted[min(len(sorted)-1, len(sorted)*percent/100)])
	}
	return Delays{Count: len(sorted), P50: at(50), P95: at(95), P99: at(99), Max: millis(sorted[len(sorted)-1])}
}

func millis(delay time.Duration) float64 { return float64(delay.Microseconds()) / 1000 }

// Result is everything that a run measured.
type Result struct {
	Size          Size    `json:"size"`
	WindowSeconds float64 `json:"window_seconds"`
	// StartsPerSecond is the measured rate of task starts, from the event logs.
	StartsPerSecond float64     `json:"starts_per_second"`
	Roles           []RoleUsage `json:"roles"`
	Hollow          HollowUsage `json:"hollow"`
	// Plain, Urgent and Gangs are the times from sending a submission to the first start
	// of a task, for gangs to the start of the last task, for jobs submitted during the
	// window except its last seconds. Unstarted counts tasks of these jobs that never
	// started.
	Plain     Delays `json:"plain_submit_to_start"`
	Urgent    Delays `json:"urgent_submit_to_start"`
	Gangs     Delays `json:"gang_submit_to_last_start"`
	Unstarted int    `json:"unstarted_tasks"`
	// Submit is the time from sending an accepted submission to its answer.
	Submit Delays `json:"submit_call"`
	// SingleChanges and BurstChange are the times from the answer to a change of the
	// configuration, for a burst from the answer to its last change, until the change
	// was in force in every front and agent.
	SingleChanges Delays  `json:"change_in_force"`
	BurstChange   float64 `json:"burst_in_force_ms"`
	// TotalMemoryMB is the highest sum of the resident memory of all processes of the
	// run, over the ramp and the window. TotalCPU is their processor time in cores.
	TotalMemoryMB float64 `json:"total_memory_mb"`
	TotalCPU      float64 `json:"total_cpu"`
	// MachineCPU is the busy fraction of the machine's processor time, including
	// everything else that ran on the machine.
	MachineCPU float64 `json:"machine_cpu"`
	// LeaderChanges is 1 if the leaders at the start and the end of the window differ,
	// else 0.
	LeaderChanges int                     `json:"leader_changes"`
	Restarted     int                     `json:"restarts"`
	Violations    map[checker.Promise]int `json:"violations"`
	Examples      []checker.Violation     `json:"violation_examples,omitempty"`
	Errors        []string                `json:"errors,omitempty"`
	Window        [2]monoclock.Nanos      `json:"window_ns"`
}

// Role returns the usage of a role; all values are 0 if it was not measured.
func (r Result) Role(role Role) RoleUsage {
	for _, usage := range r.Roles {
		if usage.Role == role {
			return usage
		}
	}
	return RoleUsage{Role: role}
}

// readResult reads the result that a run wrote to its output folder.
func readResult(directory string) (Result, error) {
	var result Result
	data, err := os.ReadFile(filepath.Join(directory, resultFile))
	if err != nil {
		return result, fmt.Errorf("read result: %w", err)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, fmt.Errorf("read result in %s: %w", directory, err)
	}
	return result, nil
}

// writeJSON writes a value as indented JSON.
func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
