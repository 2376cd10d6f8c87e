package hollow

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// NodeSpec describes one hollow node.
type NodeSpec struct {
	// Agent and Worker are the names of the node's agent and worker.
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
	// Journal is the path of the event log that all workers of the process share.
	Journal string `json:"journal"`
	// Service is the service that every worker offers; its tasks only sleep.
	Service string     `json:"service"`
	Nodes   []NodeSpec `json:"nodes"`
}

// ReadSpec reads a file written by WriteSpec.
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

// WriteSpec writes the file from which a hollow process reads its nodes.
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

// Command is an action that a Request makes a hollow process take.
type Command string

// Commands.
const (
	// CommandKillWorker stops a worker as SIGKILL would: it logs and reports nothing
	// afterwards.
	CommandKillWorker Command = "kill-worker"
	// CommandStartWorker starts a killed worker again, with a new worker id.
	CommandStartWorker Command = "start-worker"
	// CommandKillAgent stops an agent: its worker is isolated and the worker's lease
	// expires.
	CommandKillAgent Command = "kill-agent"
	// CommandStartAgent starts a killed agent again.
	CommandStartAgent Command = "start-agent"
	// CommandCount returns the process's counters.
	CommandCount Command = "count"
)

// Request is one JSON line sent to a hollow process. Node is an index into Spec.Nodes,
// from 0; CommandCount ignores it.
type Request struct {
	Command Command `json:"order"`
	Node    int     `json:"node"`
}

// Reply is the JSON line that answers one Request.
type Reply struct {
	// At is the time at which the command had been executed.
	At       monoclock.Nanos `json:"at_ns"`
	Error    string          `json:"error,omitempty"`
	Counters *Counters       `json:"counters,omitempty"`
}

// Counters are sums over all nodes of the process since its start.
type Counters struct {
	// Calls are the numbers of calls from agents to schedulers, by method.
	Calls map[string]float64 `json:"calls"`
	// SentBytes and ReceivedBytes are the bytes that agents sent to and received from
	// schedulers, headers included.
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	// Heartbeats is the number of heartbeats that workers sent to their agents.
	Heartbeats int64 `json:"heartbeats"`
}
