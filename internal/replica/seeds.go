package replica

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// seedDirectory queries the seeds for their identity and the leader they know. The list
// of seeds may be replaced while it is in use.
type seedDirectory struct {
	client *rpc.Client
	// local answers without a network call if a seed is this replica.
	local *identityServer
	seeds atomic.Pointer[[]string]
}

// seedResponse is the answer of one seed; err is set if the query failed.
type seedResponse struct {
	address  string
	identity protocol.IdentityAnswer
	err      error
}

func (d *seedDirectory) set(seeds []string) {
	seeds = slices.Clone(seeds)
	d.seeds.Store(&seeds)
}

// query queries all seeds concurrently and returns the responses in the order of the
// seeds. A seed that is this replica is answered without a network call.
func (d *seedDirectory) query(ctx context.Context) []seedResponse {
	seeds := *d.seeds.Load()
	responses := make([]seedResponse, len(seeds))
	var queries sync.WaitGroup
	for i, seed := range seeds {
		queries.Go(func() { responses[i] = d.queryOne(ctx, seed) })
	}
	queries.Wait()
	return responses
}

func (d *seedDirectory) queryOne(ctx context.Context, seed string) seedResponse {
	if seed == d.local.self.address {
		return seedResponse{address: seed, identity: d.local.identity()}
	}
	identity, err := rpc.Call[protocol.Empty, protocol.IdentityAnswer](ctx, d.client, seed, protocol.MethodIdentity, protocol.Empty{})
	return seedResponse{address: seed, identity: identity, err: err}
}

// withoutRelays removes the seeds that are relays rather than replicas. It modifies the
// slice in place.
func withoutRelays(responses []seedResponse) []seedResponse {
	return slices.DeleteFunc(responses, func(seed seedResponse) bool { return seed.err == nil && seed.identity.Relay })
}
