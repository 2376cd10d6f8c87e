package integration

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/scheduler"
	"github.com/decklever/decklever/internal/storage"
	"github.com/decklever/decklever/internal/testaddress"
)

// waitTimeout bounds each wait for a condition. It is far longer than any wait should take.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastTiming returns a timing with short failovers. No check depends on the durations.
func fastTiming() replica.Timing {
	return replica.Timing{
		Tick:               20 * time.Millisecond,
		ElectionTimeoutMin: 250 * time.Millisecond,
		ElectionTimeoutMax: 500 * time.Millisecond,
		Lease:              200 * time.Millisecond,
	}
}

// node is a scheduler whose name, address and store persist over restarts. All tests of this
// package use it.
type node struct {
	t       *testing.T
	name    string
	address string
	seeds   []string
	store   storage.Store
	// snapshotEvery is the number of log entries between two snapshots.
	snapshotEvery uint64
	// dialer makes the node's outgoing connections; nil for the default dialer.
	dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// limits are the limits of the daemon; zero fields mean the defaults.
	limits daemon.Config
	// maxRequestBytes is the maximum size of a request; 0 means the default.
	maxRequestBytes int64

	// replica is the replica of the newest start.
	replica *replica.Replica
	cancel  context.CancelFunc
	ended   chan error // of capacity 1
}

// newNodes returns count nodes that are not started. Each has the addresses of all nodes as
// seeds.
func newNodes(t *testing.T, count int) []*node {
	t.Helper()
	nodes := make([]*node, count)
	var seeds []string
	for i := range nodes {
		nodes[i] = &node{
			t:             t,
			name:          fmt.Sprintf("control-%d", i+1),
			address:       testaddress.New(t),
			store:         storage.NewMemory(int64(i + 1)),
			snapshotEvery: 100,
		}
		seeds = append(seeds, nodes[i].address)
	}
	for _, n := range nodes {
		n.seeds = seeds
	}
	return nodes
}

// start starts the node as its program does. The node runs until stop or a failure.
func (n *node) start() {
	n.t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{Dialer: n.dialer})
	logger := slog.New(slog.DiscardHandler)
	service := scheduler.NewService(scheduler.Config{
		Archive:    n.store.Archive(),
		NewPlanner: func() scheduler.Planner { return placement.New(placement.Config{}) },
		Logger:     logger,
		Registerer: prometheus.NewRegistry(),
	})
	created, err := replica.New(replica.Config{
		Name:            n.name,
		Zone:            "zone",
		Address:         n.address,
		Seeds:           n.seeds,
		Store:           n.store,
		Record:          record.NewMachine(record.Config{Archive: n.store.Archive()}),
		Client:          client,
		Timing:          fastTiming(),
		SnapshotEvery:   n.snapshotEvery,
		RetainedEntries: 20,
		Logger:          logger,
		Lead:            service.Lead,
	})
	if err != nil {
		n.t.Fatal(err)
	}
	service.SetLog(created)
	server := rpc.NewServer(rpc.ServerConfig{MaxRequestBytes: n.maxRequestBytes})
	created.Register(server)
	service.Register(server)
	n.replica = created
	config := n.limits
	config.Listen, config.Handler = n.address, server
	config.Background = []func(context.Context) error{created.Run}
	n.run(config, client.Close)
}

// run starts a daemon, which runs until stop or a failure; then it calls cleanup. run returns
// once the daemon listens.
func (n *node) run(config daemon.Config, cleanup func()) {
	listening := make(chan struct{})
	config.OnListening = func(net.Addr) { close(listening) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	n.cancel, n.ended = cancel, ended
	go func() {
		err := daemon.Run(ctx, config)
		cleanup()
		ended <- err
	}()
	n.t.Cleanup(n.stop)
	select {
	case <-listening:
	case err := <-ended:
		ended <- err
		n.t.Fatalf("start %s: %v", n.name, err)
	}
}

// stop stops the node and waits for its end. It may be called more than once.
func (n *node) stop() {
	n.cancel()
	if err := n.result(); err != nil && !errors.Is(err, errResultTaken) {
		n.t.Errorf("%s: %v", n.name, err)
	}
}

// errResultTaken is returned by result after the first call.
var errResultTaken = errors.New("result already taken")

// result waits until the node ends and returns its error.
func (n *node) result() error {
	n.t.Helper()
	select {
	case err := <-n.ended:
		n.ended <- errResultTaken
		return err
	case <-time.After(waitTimeout):
		n.t.Fatalf("%s is still running after the wait for its end", n.name)
		return nil
	}
}

// crash stops the node without a leadership transfer and discards writes that were not
// synced.
func (n *node) crash() {
	n.stop()
	if store, ok := n.store.(interface{ Crash() }); ok {
		store.Crash()
	}
}

func startAll(nodes []*node) {
	for _, n := range nodes {
		n.start()
	}
}

// leads reports whether the node leads and holds the lease.
func (n *node) leads() bool {
	status := n.replica.Status()
	return status.TermReady && n.replica.HoldsLease(status.Term)
}

// leaderOf waits until one of the nodes leads and returns it.
func leaderOf(t *testing.T, nodes []*node) *node {
	t.Helper()
	var leader *node
	eventually(t, "a leader", func() bool {
		for _, n := range nodes {
			if n.leads() {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// without returns the nodes except excluded.
func without(nodes []*node, excluded *node) []*node {
	var rest []*node
	for _, n := range nodes {
		if n != excluded {
			rest = append(rest, n)
		}
	}
	return rest
}

// eventually waits until the condition is true; it fails the test after waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for: %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// callUntilAnswered calls the nodes in turn until one accepts or rejects the request.
func callUntilAnswered[Request, Answer any](t *testing.T, client *rpc.Client, nodes []*node, method protocol.Method, request Request) (Answer, error) {
	t.Helper()
	var answer Answer
	var err error
	eventually(t, "an answer to "+string(method), func() bool {
		for _, n := range nodes {
			answer, err = rpc.Call[Request, Answer](t.Context(), client, n.address, method, request)
			if err == nil || errors.Is(err, &rpc.Error{Code: rpc.CodeRefused}) {
				return true
			}
		}
		return false
	})
	return answer, err
}

// newClient returns an RPC client that is closed at the end of the test.
func newClient(t *testing.T) *rpc.Client {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{})
	t.Cleanup(client.Close)
	return client
}

// newHTTPClient returns an HTTP client that does not reuse connections.
func newHTTPClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// counter counts events by name. It is safe for concurrent use.
type counter struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (c *counter) add(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

func (c *counter) get(name string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts[name]
}
