package model

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/agent"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/rpc"
)

// relayTimeout bounds the relay of a heartbeat. It equals the default of the agent's
// settings.
const relayTimeout = time.Second

// linkedProcess is a process that finds and follows the leader: a front or an agent.
type linkedProcess struct {
	client       *rpc.Client
	leaderClient *leaderclient.Client
	stop         func()
}

func (f *fleet) newLinkedProcess(name, role, zone string, versionOnly bool) linkedProcess {
	f.network.mutex.Lock()
	f.network.zones[name] = zone
	f.network.mutex.Unlock()
	client := rpc.NewClient(rpc.ClientConfig{Timeout: front.MaxAttemptDuration + time.Second, Dialer: f.network.dialer(name)})
	made := leaderclient.New(leaderclient.Config{
		Process: name, Role: role, Zone: zone, VersionOnly: versionOnly, Client: client,
		Seeds: func() []string { return f.seeds }, Logger: slog.New(f.logs).With(role, name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = made.Run(ctx) })
	return linkedProcess{client: client, leaderClient: made, stop: func() {
		cancel()
		f.network.reset(name)
		running.Wait()
		client.Close()
	}}
}

// frontMachine is a machine with a front.
type frontMachine struct {
	linkedProcess
	front *front.Front
}

func (f *fleet) addFront(number int) {
	name := fmt.Sprintf("front-%d", number+1)
	made := &frontMachine{linkedProcess: f.newLinkedProcess(name, "front", f.zone(number), false)}
	var err error
	made.front, err = front.New(front.Config{Link: made.leaderClient, Client: made.client, Registerer: prometheus.NewRegistry()})
	if err != nil {
		f.t.Fatal(err)
	}
	f.fronts[name] = made
}

// agentMachine is a machine with an agent.
type agentMachine struct {
	linkedProcess
	agent atomic.Pointer[agent.Agent]
}

func (f *fleet) newAgent(name, zone string) *agentMachine {
	made := &agentMachine{linkedProcess: f.newLinkedProcess(name, "agent", zone, true)}
	running, err := agent.New(agent.Config{
		Name: name, Zone: func() string { return zone }, RelayTimeout: relayTimeout, Link: made.leaderClient, Client: made.client,
		Logger: slog.New(f.logs).With("agent", name), Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	made.agent.Store(running)
	return made
}

var errNoAnswer = errors.New("no answer")

// handlerTransport is an http.RoundTripper that passes requests to a handler in this process.
type handlerTransport struct {
	// handler returns the handler of a request, or nil if the request gets no answer. It
	// is called before and after the request is served.
	handler func(*http.Request) http.Handler
	// loseAnswer draws whether the answer to a served request is lost. Default: none is.
	loseAnswer func() bool
}

// RoundTrip implements http.RoundTripper.
func (d handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	handler := d.handler(request)
	if handler == nil {
		return nil, errNoAnswer
	}
	cloned := request.Clone(request.Context())
	if cloned.Body == nil {
		cloned.Body = http.NoBody
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, cloned)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	if d.handler(request) == nil || d.loseAnswer != nil && d.loseAnswer() {
		return nil, errNoAnswer
	}
	response := answer.Result()
	response.Body = io.NopCloser(bytes.NewReader(answer.Body.Bytes()))
	return response, nil
}
