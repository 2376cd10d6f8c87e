package hollow

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// NodeSpec describes one hollow side machine.
type NodeSpec struct {
	// Agent and Worker are the names of its two parts.
	Agent    string            `json:"agent"`
	Worker   string            `json:"worker"`
	Zone     string            `json:"zone"`
	Capacity api.Resources     `json:"capacity"`
	Labels   map[string]string `json:"labels,omitempty"`
}

// Spec describes one process of hollow nodes.
type Spec struct {
	// Seeds are the schedulers' addresses.
	Seeds []string `json:"seeds"`
	// Journal is the file that all workers of the process write to.
	Journal string `json:"journal"`
	// Service is what every worker offers; its tasks sleep.
	Service string     `json:"service"`
	Nodes   []NodeSpec `json:"nodes"`
}

// ReadSpec reads a file that WriteSpec wrote.
func ReadSpec(path string) (Spec, error) {
	var spec Spec
	data, err := os.ReadFile(path)
	if err != nil {
		return spec, fmt.Errorf("read hollow spec: %w", err)
	}
	if err := json.Unmarshal(data, &spec); err != nil {
		return spec, fmt.Errorf("read hollow spec %s: %w", path, err)
	}
	return spec, nil
}

// WriteSpec writes the file that a hollow process starts from.
func WriteSpec(path string, spec Spec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode hollow spec: %w", err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write hollow spec: %w", err)
	}
	return nil
}

// Command is what a hollow process is asked to do, one JSON line each.
type Command string

// Orders.
const (
	// CommandKillWorker ends a worker as SIGKILL would: nothing is logged or reported
	// any more.
	CommandKillWorker Command = "kill-worker"
	// CommandStartWorker starts a killed worker again, with a new worker id.
	CommandStartWorker Command = "start-worker"
	// CommandKillAgent ends an agent: its worker is isolated and its lease expires.
	CommandKillAgent Command = "kill-agent"
	// CommandStartAgent starts a killed agent again.
	CommandStartAgent Command = "start-agent"
	// CommandCount asks for the process's counters.
	CommandCount Command = "count"
)

// Request is one line to a hollow process. Node counts from 0.
type Request struct {
	Command Command `json:"order"`
	Node    int     `json:"node"`
}

// Reply answers one Request.
type Reply struct {
	// At is when the command had been carried out.
	At       monoclock.Nanos `json:"at_ns"`
	Error    string          `json:"error,omitempty"`
	Counters *Counters       `json:"counters,omitempty"`
}

// Counters are sums over all nodes of the process since its start.
type Counters struct {
	// Calls that the agents made to schedulers, by method.
	Calls map[string]float64 `json:"calls"`
	// SentBytes and ReceivedBytes passed between the agents and schedulers,
	// headers included.
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	// Heartbeats are those that the workers sent.
	Heartbeats int64 `json:"heartbeats"`
}
