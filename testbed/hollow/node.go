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
	// agentURL is the URL under which a hollow worker calls its agent; it is never
	// resolved.
	agentURL = "http://agent.invalid"
	// relayTimeout equals the default of the real agent.
	relayTimeout = time.Second
)

var (
	errRunning    = errors.New("already running")
	errNotRunning = errors.New("not running")
)

// shared is the state that all nodes of a process share.
type shared struct {
	spec    Spec
	journal *worker.Journal
	metrics *rpc.Metrics
	// requests counts the requests of workers to their agents.
	requests atomic.Int64
}

// node simulates one worker machine: an agent and a worker, each of which can be killed
// and started again. The goroutine of Process.Run owns it.
type node struct {
	shared    *shared
	spec      NodeSpec
	agentLink *loopback
	// agent and worker are nil while not running.
	agent  *agentIncarnation
	worker *workerIncarnation
}

func newNode(shared *shared, spec NodeSpec) *node {
	return &node{shared: shared, spec: spec, agentLink: &loopback{requests: &shared.requests}}
}

// agentIncarnation is an agent from its start until it is killed.
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
	handler, err := agent.New(agent.Config{
		Name: n.spec.Agent, Zone: func() string { return n.spec.Zone },
		RelayTimeout: relayTimeout, Link: link, Client: client,
	})
	if err != nil {
		return fmt.Errorf("start agent %s: %w", n.spec.Agent, err)
	}
	ctx, stop := context.WithCancel(ctx)
	n.agent = &agentIncarnation{client: client, stop: stop}
	n.agent.done.Go(func() { _ = link.Run(ctx) }) // always returns nil
	n.agentLink.connect(handler)
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

// workerIncarnation is a worker from its start until it is killed. The mutex guards
// killed.
type workerIncarnation struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mutex  sync.Mutex
	killed bool
}

// logEvent records an event in the event log unless the worker has been killed.
func (w *workerIncarnation) logEvent(record func(worker.Event), event worker.Event) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.killed {
		record(event)
	}
}

func (w *workerIncarnation) kill() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.killed = true
}

// killableTransport disconnects a killed worker from its agent, which may still be running.
type killableTransport struct {
	incarnation *workerIncarnation
	next        http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t killableTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.incarnation.mutex.Lock()
	killed := t.incarnation.killed
	t.incarnation.mutex.Unlock()
	if killed {
		return nil, errNotRunning
	}
	return t.next.RoundTrip(request)
}

func (n *node) startWorker(ctx context.Context) error {
	if n.worker != nil {
		return fmt.Errorf("start worker %s: %w", n.spec.Worker, errRunning)
	}
	incarnation := &workerIncarnation{}
	instance, err := worker.New(worker.Config{
		Name: n.spec.Worker, AgentURL: agentURL, Capacity: n.spec.Capacity, Labels: n.spec.Labels,
		HTTPClient: &http.Client{Transport: killableTransport{incarnation, n.agentLink}},
		OnStart:    func(event worker.Event) { incarnation.logEvent(n.shared.journal.Start, event) },
		OnEnd:      func(event worker.Event) { incarnation.logEvent(n.shared.journal.End, event) },
		// A graceful shutdown gets no time, as the test bed stops a hollow worker only by
		// killing it.
		DrainTimeout: -1, ReportTimeout: -1,
	})
	if err != nil {
		return fmt.Errorf("start worker %s: %w", n.spec.Worker, err)
	}
	instance.Handle(n.shared.spec.Service, taskhandlers.Handlers()[taskhandlers.Sleep])
	ctx, incarnation.stop = context.WithCancel(ctx)
	// Run's error only says that handlers or reports were left, which is expected of a
	// killed worker.
	incarnation.done.Go(func() { _ = instance.Run(ctx) })
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

// killRunning kills the worker and the agent if they are running.
func (n *node) killRunning() {
	if n.worker != nil {
		_ = n.killWorker() // fails only if not running
	}
	if n.agent != nil {
		_ = n.killAgent() // fails only if not running
	}
}
