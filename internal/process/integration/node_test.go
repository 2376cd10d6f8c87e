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

// waitTimeout bounds waits for a condition; none takes nearly as long.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastTiming makes failovers short; no result depends on it.
func fastTiming() replica.Timing {
	return replica.Timing{
		Tick:               20 * time.Millisecond,
		ElectionTimeoutMin: 250 * time.Millisecond,
		ElectionTimeoutMax: 500 * time.Millisecond,
		Lease:              200 * time.Millisecond,
	}
}

// node is a scheduler whose name, address and store outlive its restarts. It is the
// fixture of all tests here.
type node struct {
	t       *testing.T
	name    string
	address string
	seeds   []string
	store   storage.Store
	// snapshotEvery is in entries.
	snapshotEvery uint64
	// dialer is nil for plain connections.
	dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// bounds are those of the daemon.
	bounds daemon.Config
	// maxRequest is in bytes; 0 is the default.
	maxRequest int64

	// replica is that of the newest start.
	replica *replica.Replica
	cancel  context.CancelFunc
	ended   chan error // of capacity 1
}

// newNodes reserves addresses; every node has all of them as seeds.
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

// start runs the node as the program does, until stop or a failure.
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
	server := rpc.NewServer(rpc.ServerConfig{MaxRequestBytes: n.maxRequest})
	created.Register(server)
	service.Register(server)
	n.replica = created
	config := n.bounds
	config.Listen, config.Handler = n.address, server
	config.Background = []func(context.Context) error{created.Run}
	n.run(config, client.Close)
}

// faultRun runs a daemon until stop, and then cleans up.
func (n *node) run(config daemon.Config, clean func()) {
	listening := make(chan struct{})
	config.Listening = func(net.Addr) { close(listening) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	n.cancel, n.ended = cancel, ended
	go func() {
		err := daemon.Run(ctx, config)
		clean()
		ended <- err
	}()
	n.t.Cleanup(n.stop)
	select {
	case <-listening:
	case err := <-ended:
		ended <- err
		n.t.Fatalf("%s: not started: %v", n.name, err)
	}
}

// stop ends the node's process; it may be called again.
func (n *node) stop() {
	n.cancel()
	if err := n.result(); err != nil && !errors.Is(err, errResultTaken) {
		n.t.Errorf("%s: %v", n.name, err)
	}
}

// errResultTaken replaces the result of a process once a test has taken it.
var errResultTaken = errors.New("result already taken")

// result waits for the end of the process.
func (n *node) result() error {
	n.t.Helper()
	select {
	case err := <-n.ended:
		n.ended <- errResultTaken
		return err
	case <-time.After(waitTimeout):
		n.t.Fatalf("%s: still running", n.name)
		return nil
	}
}

// crash stops the node without a leadership transfer and loses what was not synced.
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

// leads reports whether the node leads under its lease.
func (n *node) leads() bool {
	status := n.replica.Status()
	return status.TermReady && n.replica.HoldsLease(status.Term)
}

// leaderOf waits until one of the nodes leads.
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

// without returns the nodes except one.
func without(nodes []*node, left *node) []*node {
	var rest []*node
	for _, n := range nodes {
		if n != left {
			rest = append(rest, n)
		}
	}
	return rest
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
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

// newClient makes an rpc client that is closed with the test.
func newClient(t *testing.T) *rpc.Client {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{})
	t.Cleanup(client.Close)
	return client
}

// clientOf makes an HTTP client that keeps no connection.
func clientOf(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// counter counts by name, from several goroutines.
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

func (c *counter) of(name string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts[name]
}
