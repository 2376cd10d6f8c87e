package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/agent"
	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/testaddress"
)

const (
	// connectionLimit is the maximum number of connections of each daemon; flood opens
	// more.
	connectionLimit = 64
	// bodyLimit is the maximum size of a request body, in bytes: the built-in limit of
	// front and agent, and the limit set for the scheduler in these tests.
	bodyLimit = 1 << 20
)

// shortLimits returns limits with which daemons soon close the connections of slow senders.
// Long polls end within WriteTimeout.
func shortLimits() daemon.Config {
	return daemon.Config{
		ReadHeaderTimeout: 200 * time.Millisecond,
		ReadTimeout:       400 * time.Millisecond,
		WriteTimeout:      5 * time.Second,
		IdleTimeout:       2 * time.Second,
		MaxConnections:    connectionLimit,
	}
}

// target is a daemon to which bad input is sent.
type target struct {
	name    string
	address string
	// post is the method and path of a request with a body.
	post string
	// tooLarge is the expected status for a body larger than bodyLimit.
	tooLarge int
	// sendValidRequest sends a request that the daemon must accept; it returns an error
	// if it was not accepted.
	sendValidRequest func() error
}

// startDaemons starts a scheduler, a front and an agent, and waits until each serves
// requests.
func startDaemons(t *testing.T) []target {
	t.Helper()
	scheduler := newNodes(t, 1)[0]
	scheduler.limits, scheduler.maxRequestBytes = shortLimits(), bodyLimit
	scheduler.start()
	request := protocol.PutConfigRequest{OrderID: "first", Config: taggedConfig("first")}
	if _, err := callUntilAnswered[protocol.PutConfigRequest, protocol.PutConfigAnswer](t, newClient(t), []*node{scheduler}, protocol.MethodPutConfig, request); err != nil {
		t.Fatal(err)
	}
	targets := []target{schedulerTarget(t, scheduler), frontTarget(t, scheduler), agentTarget(t, scheduler)}
	for _, target := range targets {
		eventually(t, target.name+" serves valid requests", func() bool { return target.sendValidRequest() == nil })
	}
	return targets
}

func schedulerTarget(t *testing.T, n *node) target {
	t.Helper()
	return target{
		name:     "scheduler",
		address:  n.address,
		post:     "POST /rpc/submit",
		tooLarge: http.StatusBadRequest,
		sendValidRequest: func() error {
			client := rpc.NewClient(rpc.ClientConfig{})
			defer client.Close()
			_, err := rpc.Call[protocol.Empty, protocol.ConfigAnswer](t.Context(), client, n.address, protocol.MethodGetConfig, protocol.Empty{})
			return err
		},
	}
}

// serve runs a daemon on the address until the end of the test, then calls cleanup.
func serve(t *testing.T, name, address string, handler http.Handler, leader *leaderclient.Client, cleanup func()) {
	t.Helper()
	process := &node{t: t, name: name}
	config := shortLimits()
	config.Listen, config.Handler = address, handler
	config.Background = []func(context.Context) error{leader.Run}
	process.run(config, cleanup)
}

func newLeaderClient(name, role string, n *node, client *rpc.Client) *leaderclient.Client {
	return leaderclient.New(leaderclient.Config{
		Process: name, Role: role, Zone: "zone", Client: client,
		Seeds: func() []string { return n.seeds },
	})
}

func frontTarget(t *testing.T, n *node) target {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{Timeout: front.MaxAttemptDuration + time.Second})
	leader := newLeaderClient("front-1", "front", n, client)
	handler, err := front.New(front.Config{Link: leader, Client: client})
	if err != nil {
		t.Fatal(err)
	}
	address := testaddress.New(t)
	serve(t, "front-1", address, handler, leader, client.Close)
	jobs := 0
	return target{
		name:     "front",
		address:  address,
		post:     "PUT /v1/jobs/bad",
		tooLarge: http.StatusRequestEntityTooLarge,
		sendValidRequest: func() error {
			jobs++
			return send(t, http.MethodPut, fmt.Sprintf("http://%s/v1/jobs/job-%d", address, jobs), taggedJob("first"), http.StatusCreated)
		},
	}
}

func agentTarget(t *testing.T, n *node) target {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{})
	leader := newLeaderClient("agent-1", "agent", n, client)
	handler, err := agent.New(agent.Config{
		Name: "agent-1", Zone: func() string { return "zone" }, RelayTimeout: time.Second, Link: leader, Client: client,
	})
	if err != nil {
		t.Fatal(err)
	}
	address := testaddress.New(t)
	serve(t, "agent-1", address, handler, leader, client.Close)
	heartbeat := api.Heartbeat{ // large enough for the jobs, but draining, so it gets no runs
		WorkerID: "incarnation-1", Name: "worker-1", Services: []string{"s"}, Capacity: api.Resources{CPUMillis: 1000}, Draining: true,
	}
	return target{
		name:     "agent",
		address:  address,
		post:     "POST " + agent.HeartbeatPath,
		tooLarge: http.StatusRequestEntityTooLarge,
		sendValidRequest: func() error {
			heartbeat.Seq++
			return send(t, http.MethodPost, "http://"+address+agent.HeartbeatPath, heartbeat, http.StatusOK)
		},
	}
}

// send sends the body as JSON on a new connection and checks the status of the response.
func send(t *testing.T, method, url string, body any, want int) error {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != want {
		return fmt.Errorf("got status %d, want %d", response.StatusCode, want)
	}
	return nil
}
