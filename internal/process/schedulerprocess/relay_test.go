package schedulerprocess

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/settings"
)

// TestRelay_ForwardsCallsAndDoesNotDelayBootstrap: a cluster whose seeds name a relay is
// created without it, and a configuration put through the relay is accepted.
func TestRelay_ForwardsCallsAndDoesNotDelayBootstrap(t *testing.T) {
	replica := schedulerSettings(t, t.TempDir())
	relay := schedulerSettings(t, t.TempDir())
	relay.Name, relay.Relay, relay.DataDir = "relay-1", true, ""
	replica.Seeds = []string{relay.Listen, replica.Listen}
	relay.Seeds = replica.Seeds

	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	scheduler, err := New(replica, settings.LoadOptions{})
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = scheduler.Run(ctx) })
	forwarder, err := NewRelay(relay, settings.LoadOptions{})
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = forwarder.Run(ctx) })

	config := api.Config{Queues: []api.QueueConfig{{Name: "q"}}}
	deadline := time.Now().Add(waitTimeout)
	for {
		status, rejection := forwarder.Gateway.PutConfig(ctx, "order-1", 0, config)
		if rejection == nil && status.Version == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the relay forwards no call: %v", rejection)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
