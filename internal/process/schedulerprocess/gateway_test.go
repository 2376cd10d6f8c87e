package schedulerprocess

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
)

// TestGateway_ForwardsCallsToLeader checks that a gateway returns 503 while there is no
// leader and forwards calls once there is one, and that an extra listener is served while
// the process runs.
func TestGateway_ForwardsCallsToLeader(t *testing.T) {
	p, err := New(schedulerSettings(t, t.TempDir()), settings.LoadOptions{})
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := p.NewGateway()
	if err != nil {
		t.Fatal(err)
	}
	early, cancelEarly := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelEarly()
	if _, rejection := gateway.Config(early); rejection == nil || rejection.Status != http.StatusServiceUnavailable {
		t.Errorf("before a leader is elected: got %v, want status 503", rejection)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	listening := make(chan net.Addr, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- p.Run(ctx, daemon.Listener{
			Address: "127.0.0.1:0", Handler: p.Handler(), OnListening: func(address net.Addr) { listening <- address },
		})
	}()
	put := api.Config{Queues: []api.QueueConfig{{Name: "default"}}}
	for deadline := time.Now().Add(waitTimeout); ; {
		status, rejection := gateway.PutConfig(t.Context(), "order-1", 0, put)
		if rejection == nil && status.Version == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("got version %d, rejection %v, want version 1 accepted", status.Version, rejection)
		}
	}
	if status, rejection := gateway.Config(t.Context()); rejection != nil || len(status.Config.Queues) != 1 {
		t.Errorf("got configuration %+v, rejection %v, want one queue", status, rejection)
	}
	response, err := http.Get("http://" + (<-listening).String() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	stop()
	if err := <-ended; err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("got status %d, result of Run %v, want 200 and nil", response.StatusCode, err)
	}
}
