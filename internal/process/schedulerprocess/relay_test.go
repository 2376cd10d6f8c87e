package schedulerprocess

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/settings"
)

// TestRelay_ForwardsCallsAndDoesNotDelayBootstrap checks that a cluster is bootstrapped
// without waiting for a relay among its seeds, and that the relay forwards a configuration
// to the leader, which accepts it.
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
	voter, err := New(replica, settings.LoadOptions{})
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = voter.Run(ctx) })
	relayProcess, err := NewRelay(relay, settings.LoadOptions{})
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = relayProcess.Run(ctx) })

	config := api.Config{Queues: []api.QueueConfig{{Name: "q"}}}
	deadline := time.Now().Add(waitTimeout)
	for {
		status, rejection := relayProcess.Gateway.PutConfig(ctx, "order-1", 0, config)
		if rejection == nil && status.Version == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("put a configuration through the relay: %v", rejection)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
