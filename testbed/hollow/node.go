package hollow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/agent"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/taskhandlers"
	"github.com/decklever/decklever/worker"
)

const (
	// agentURL is what a hollow worker calls its agent; it is never resolved.
	agentURL = "http://agent.invalid"
	// relayTimeout is the agent's default.
	relayTimeout = time.Second
)

var (
	errRunning    = errors.New("it runs already")
	errNotRunning = errors.New("it is not running")
)

// shared is what all nodes of a process use.
type shared struct {
	spec     Spec
	journal  *worker.Journal
	metrics  *rpc.Metrics
	requests atomic.Int64
}

// node is one side machine: an agent and a worker, each of which can be killed and
// started again. The goroutine of Process.Run owns it.
type node struct {
	shared    *shared
	spec      NodeSpec
	agentLink *loopback
	agent     *agentIncarnation
	worker    *workerIncarnation
}

func newNode(shared *shared, spec NodeSpec) *node {
	return &node{shared: shared, spec: spec, agentLink: &loopback{requests: &shared.requests}}
}

// agentIncarnation is one start of an agent.
type agentIncarnation struct {
	client *rpc.Client
	stop   context.CancelFunc
	done   sync.WaitGroup
}

func (n *node) startAgent(ctx context.Context) error {
	if n.agent != nil {
		return fmt.Errorf("start agent %s: %w", n.spec.Agent, errRunning)
	}
	client := rpc.NewClient(rpc.ClientConfig{
		Timeout: max(relayTimeout, leaderclient.MaxCallDuration) + time.Second, Metrics: n.shared.metrics,
	})
	link := leaderclient.New(leaderclient.Config{
		Process: n.spec.Agent, Role: "agent", Zone: n.spec.Zone, VersionOnly: true,
		Seeds: func() []string { return n.shared.spec.Seeds }, Client: client,
	})
	served, err := agent.New(agent.Config{
		Name: n.spec.Agent, Zone: func() string { return n.spec.Zone },
		RelayTimeout: relayTimeout, Link: link, Client: client,
	})
	if err != nil {
		return fmt.Errorf("start agent %s: %w", n.spec.Agent, err)
	}
	ctx, stop := context.WithCancel(ctx)
	n.agent = &agentIncarnation{client: client, stop: stop}
	n.agent.done.Go(func() { _ = link.Run(ctx) }) // it returns nil
	n.agentLink.connect(served)
	return nil
}

func (n *node) killAgent() error {
	if n.agent == nil {
		return fmt.Errorf("kill agent %s: %w", n.spec.Agent, errNotRunning)
	}
	n.agentLink.connect(nil)
	n.agent.stop()
	n.agent.done.Wait()
	n.agent.client.Close()
	n.agent = nil
	return nil
}

// workerIncarnation is one start of a worker.
type workerIncarnation struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mutex  sync.Mutex
	killed bool
}

// write writes to the event log unless the worker has been killed.
func (l *workerIncarnation) write(write func(worker.Event), event worker.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.killed {
		write(event)
	}
}

func (l *workerIncarnation) kill() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.killed = true
}

// killSwitch disconnects a killed worker from its agent, which may run on.
type killSwitch struct {
	incarnation *workerIncarnation
	next        http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (g killSwitch) RoundTrip(request *http.Request) (*http.Response, error) {
	g.incarnation.mutex.Lock()
	dead := g.incarnation.killed
	g.incarnation.mutex.Unlock()
	if dead {
		return nil, errNotRunning
	}
	return g.next.RoundTrip(request)
}

func (n *node) startWorker(ctx context.Context) error {
	if n.worker != nil {
		return fmt.Errorf("start worker %s: %w", n.spec.Worker, errRunning)
	}
	incarnation := &workerIncarnation{}
	made, err := worker.New(worker.Config{
		Name: n.spec.Worker, AgentURL: agentURL, Capacity: n.spec.Capacity, Labels: n.spec.Labels,
		HTTPClient: &http.Client{Transport: killSwitch{incarnation, n.agentLink}},
		OnStart:    func(event worker.Event) { incarnation.write(n.shared.journal.Start, event) },
		OnEnd:      func(event worker.Event) { incarnation.write(n.shared.journal.End, event) },
		// The test bed ends a worker only by killing it.
		DrainTimeout: -1, ReportTimeout: -1,
	})
	if err != nil {
		return fmt.Errorf("start worker %s: %w", n.spec.Worker, err)
	}
	made.Handle(n.shared.spec.Service, taskhandlers.Handlers()[taskhandlers.Sleep])
	ctx, incarnation.stop = context.WithCancel(ctx)
	// A killed worker leaves handlers and reports behind, which Run says.
	incarnation.done.Go(func() { _ = made.Run(ctx) })
	n.worker = incarnation
	return nil
}

func (n *node) killWorker() error {
	if n.worker == nil {
		return fmt.Errorf("kill worker %s: %w", n.spec.Worker, errNotRunning)
	}
	n.worker.kill()
	n.worker.stop()
	n.worker.done.Wait()
	n.worker = nil
	return nil
}

// kill ends whatever still runs.
func (n *node) kill() {
	if n.worker != nil {
		_ = n.killWorker() // it runs
	}
	if n.agent != nil {
		_ = n.killAgent() // it runs
	}
}
