package replica

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// seedDirectory queries the seeds: who they are, and who leads. The seeds may be
// replaced while it is in use.
type seedDirectory struct {
	client *rpc.Client
	// local answers for the seed that is this replica.
	local *identityServer
	seeds atomic.Pointer[[]string]
}

// seedResponse is what one seed answered; err is set if it did not.
type seedResponse struct {
	address  string
	identity protocol.IdentityAnswer
	err      error
}

func (d *seedDirectory) set(seeds []string) {
	seeds = slices.Clone(seeds)
	d.seeds.Store(&seeds)
}

// query queries every seed at the same time, this replica without the network. The
// responses are in the order of the seeds.
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

// withoutRelays leaves out seeds that are no replicas. It reuses the slice.
func withoutRelays(responses []seedResponse) []seedResponse {
	return slices.DeleteFunc(responses, func(seed seedResponse) bool { return seed.err == nil && seed.identity.Relay })
}
