package replica

import (
	"testing"
	"time"

	"github.com/decklever/decklever/internal/rpc"
)

func TestHoldsLease_ExpiresWhileProcessFrozen(t *testing.T) {
	client := rpc.NewClient(rpc.ClientConfig{})
	defer client.Close()
	r := newMachines(t, 1)[0].newReplica(client)
	r.published.leadership.Store(&leadershipView{leader: true, term: 7, leaseUntil: r.published.monotonic.now() + time.Hour})
	if !r.HoldsLease(7) || r.HoldsLease(6) || r.HoldsLease(8) {
		t.Fatal("the lease is held under token 7 alone")
	}
	r.published.monotonic.startedAt = r.published.monotonic.startedAt.Add(-time.Hour) // the process was frozen for an hour
	if r.HoldsLease(7) {
		t.Fatal("the lease outlived its end")
	}
}
