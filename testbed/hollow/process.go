package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/worker"
)

// Process runs the nodes of one Spec.
type Process struct {
	shared   *shared
	registry *prometheus.Registry
	nodes    []*node
}

// NewProcess opens the event log at spec.Journal and creates the nodes without starting
// them.
func NewProcess(spec Spec, logger *slog.Logger) (*Process, error) {
	registry := prometheus.NewRegistry()
	metrics, err := rpc.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	journal, err := worker.OpenJournal(spec.Journal, logger)
	if err != nil {
		return nil, err
	}
	p := &Process{shared: &shared{spec: spec, journal: journal, metrics: metrics}, registry: registry}
	for _, nodeSpec := range spec.Nodes {
		p.nodes = append(p.nodes, newNode(p.shared, nodeSpec))
	}
	return p, nil
}

// Run starts all nodes, then executes requests and writes their replies until requests
// ends or the context is cancelled. Before it returns it kills all nodes and closes the
// event log.
func (p *Process) Run(ctx context.Context, requests io.Reader, replies io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, node := range p.nodes {
		if err := errors.Join(node.startAgent(ctx), node.startWorker(ctx)); err != nil {
			return errors.Join(err, p.close())
		}
	}
	err := p.serve(ctx, requests, replies)
	return errors.Join(err, p.close())
}

func (p *Process) close() error {
	var kills sync.WaitGroup
	for _, node := range p.nodes {
		kills.Go(node.killRunning)
	}
	kills.Wait()
	return p.shared.journal.Close()
}

func (p *Process) serve(ctx context.Context, requests io.Reader, replies io.Writer) error {
	requestLines := bufio.NewScanner(requests)
	encoder := json.NewEncoder(replies)
	for ctx.Err() == nil && requestLines.Scan() {
		var request Request
		if err := json.Unmarshal(requestLines.Bytes(), &request); err != nil {
			return fmt.Errorf("read request: %w", err)
		}
		if err := encoder.Encode(p.reply(ctx, request)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
	return requestLines.Err()
}

func (p *Process) reply(ctx context.Context, request Request) Reply {
	reply := Reply{}
	if request.Command == CommandCount {
		counters, err := p.counters()
		reply.Counters = &counters
		reply.setError(err)
	} else {
		reply.setError(p.execute(ctx, request))
	}
	reply.At = monoclock.Now()
	return reply
}

func (r *Reply) setError(err error) {
	if err != nil {
		r.Error = err.Error()
	}
}

func (p *Process) execute(ctx context.Context, request Request) error {
	if request.Node < 0 || request.Node >= len(p.nodes) {
		return fmt.Errorf("node is %d, expected 0 to %d", request.Node, len(p.nodes)-1)
	}
	target := p.nodes[request.Node]
	switch request.Command {
	case CommandKillWorker:
		return target.killWorker()
	case CommandStartWorker:
		return target.startWorker(ctx)
	case CommandKillAgent:
		return target.killAgent()
	case CommandStartAgent:
		return target.startAgent(ctx)
	}
	return fmt.Errorf("command is %q, expected kill-worker, start-worker, kill-agent, start-agent or count", request.Command)
}

// counters returns the sums over all nodes.
func (p *Process) counters() (Counters, error) {
	counters := Counters{Calls: map[string]float64{}, Heartbeats: p.shared.requests.Load()}
	families, err := p.registry.Gather()
	if err != nil {
		return counters, fmt.Errorf("gather counters: %w", err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := map[string]string{}
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			value := metric.GetCounter().GetValue()
			switch {
			case family.GetName() == "decklever_rpc_calls_total":
				counters.Calls[labels["method"]] += value
			case family.GetName() == "decklever_rpc_wire_bytes_total" && labels["direction"] == "sent":
				counters.SentBytes += value
			case family.GetName() == "decklever_rpc_wire_bytes_total":
				counters.ReceivedBytes += value
			}
		}
	}
	return counters, nil
}

var (
	_ http.RoundTripper = (*loopback)(nil)
	_ http.RoundTripper = killableTransport{}
)
