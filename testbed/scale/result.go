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

// Role is a role of a real process, with schedulers parted.
type Role string

// Roles, in the order of a table.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleFront    Role = "front"
	RoleAgent    Role = "agent"
	RoleWorker   Role = "worker"
)

// RoleUsage is what the processes of one role took during the window, as means
// over processes unless it says otherwise. Rates are per second.
type RoleUsage struct {
	Role      Role `json:"role"`
	Processes int  `json:"processes"`
	// CPU is a share of one core; CPUMax that of the busiest process.
	CPU    float64 `json:"cpu"`
	CPUMax float64 `json:"cpu_max"`
	// MemoryMaxMB is the highest resident memory of any process in the window.
	MemoryMaxMB float64 `json:"memory_max_mb"`
	// Served and Made are rpc calls.
	Served float64 `json:"rpc_served_per_second"`
	Made   float64 `json:"rpc_made_per_second"`
	// ServedIn and ServedOut are bodies of served calls, without headers.
	ServedIn  float64 `json:"rpc_served_in_bytes_per_second"`
	ServedOut float64 `json:"rpc_served_out_bytes_per_second"`
	// WireIn and WireOut passed over the connections that the process opened to
	// schedulers, with headers.
	WireIn  float64 `json:"wire_in_bytes_per_second"`
	WireOut float64 `json:"wire_out_bytes_per_second"`
	// Read, Written and Disk are what the system counted for the process:
	// sockets and files together, and what of it went to files.
	Read    float64 `json:"read_bytes_per_second"`
	Written float64 `json:"written_bytes_per_second"`
	Disk    float64 `json:"disk_bytes_per_second"`
	// Entries are log entries committed.
	Entries float64 `json:"log_entries_per_second"`
	// Heartbeats and Watches are served calls of these methods.
	Heartbeats float64 `json:"heartbeats_per_second"`
	Watches    float64 `json:"watches_per_second"`
	// SaveMillis is the mean time of a save to disk with its sync, PlanMillis
	// that of a planning pass.
	SaveMillis float64 `json:"save_mean_ms"`
	PlanMillis float64 `json:"plan_mean_ms"`
	// Jobs, Pending, Running, Workers and Watching are what is held in memory at
	// the end of the window; Heap is the Go heap in use.
	Jobs     float64 `json:"jobs"`
	Pending  float64 `json:"pending_tasks"`
	Running  float64 `json:"open_runs"`
	Workers  float64 `json:"workers"`
	Watching float64 `json:"watching_processes"`
	HeapMB   float64 `json:"heap_mb"`
}

// HollowUsage is what the hollow nodes took, as means for one node.
type HollowUsage struct {
	Nodes      int     `json:"nodes"`
	Processes  int     `json:"processes"`
	Heartbeats float64 `json:"heartbeats_per_second"`
	Watches    float64 `json:"watches_per_second"`
	WireIn     float64 `json:"wire_in_bytes_per_second"`
	WireOut    float64 `json:"wire_out_bytes_per_second"`
	// CPU is a share of one core, and MemoryMB resident memory, of both the
	// agent and the worker of one node; sharing a process makes them smaller.
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

// delaysOf takes delays in.
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

// Result is all that a run measured.
type Result struct {
	Size          Size    `json:"size"`
	WindowSeconds float64 `json:"window_seconds"`
	// StartsPerSecond was reached, from the event logs.
	StartsPerSecond float64     `json:"starts_per_second"`
	Roles           []RoleUsage `json:"roles"`
	Hollow          HollowUsage `json:"hollow"`
	// Plain, Urgent and Gangs are times from the sending of the submission to
	// the start of a task, of gangs to that of the last member, for jobs submitted
	// in during the window. Unstarted counts tasks of these that never started.
	Plain     Delays `json:"plain_submit_to_start"`
	Urgent    Delays `json:"urgent_submit_to_start"`
	Gangs     Delays `json:"gang_submit_to_last_start"`
	Unstarted int    `json:"unstarted_tasks"`
	// Submit is the time of the submit call itself.
	Submit Delays `json:"submit_call"`
	// SingleChanges and BurstChange are the times from the answer to a change
	// of the configuration, of a burst to its last one, until it was in force in
	// every front and agent.
	SingleChanges Delays  `json:"change_in_force"`
	BurstChange   float64 `json:"burst_in_force_ms"`
	// TotalMemoryMB and TotalCPU are of all processes of the run.
	TotalMemoryMB float64 `json:"total_memory_mb"`
	TotalCPU      float64 `json:"total_cpu"`
	// MachineCPU is the share of the machine's cores that were busy, with
	// whatever else ran on it.
	MachineCPU float64 `json:"machine_cpu"`
	// LeaderChanges is over 0 if the leader of the window's end is not that of
	// its beginning.
	LeaderChanges int                     `json:"leader_changes"`
	Restarted     int                     `json:"restarts"`
	Violations    map[checker.Promise]int `json:"violations"`
	Examples      []checker.Violation     `json:"violation_examples,omitempty"`
	Errors        []string                `json:"errors,omitempty"`
	Window        [2]monoclock.Nanos      `json:"window_ns"`
}

// Role returns the usage of a role; its zero if it was not measured.
func (r Result) Role(role Role) RoleUsage {
	for _, usage := range r.Roles {
		if usage.Role == role {
			return usage
		}
	}
	return RoleUsage{Role: role}
}

// readResult reads the result that a run left in its folder.
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
