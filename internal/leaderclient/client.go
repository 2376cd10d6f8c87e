package leaderclient

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// Config is what a Client needs. All but Logger and OnConfig is required.
type Config struct {
	// Process is the name of this process, Role "front" or "agent", and Zone its zone at
	// first.
	Process, Role, Zone string
	// Seeds returns the addresses of schedulers that are in the settings now.
	Seeds func() []string
	// VersionOnly says that this process needs only the version of the configuration:
	// Client.Config returns nil, and OnConfig gets nil.
	VersionOnly bool
	// Client carries the calls. Its timeout must be longer than MaxCallDuration.
	Client *rpc.Client
	// Logger defaults to none.
	Logger *slog.Logger
	// OnConfig is called with each newer configuration, before that is confirmed to the
	// leader; one call at a time, while Run does not return. Optional; it must not block
	// for long.
	OnConfig func(version uint64, config *api.Config)
}

// watchFunc makes one watch call.
type watchFunc func(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error)

// Client tracks the leader. Its methods are safe for concurrent use.
type Client struct {
	config Config
	watch  watchFunc
	// started is when the client was made; times of state count from it.
	started time.Time

	// mutex protects the fields up to overdueCalls, and probing.
	mutex sync.Mutex
	zone  string
	state state
	// redirects counts the hints that were followed since the last accepted answer.
	redirects int
	// interrupt ends the iteration of Run; nil between iterations.
	interrupt context.CancelFunc
	// overdueCalls are the supervised calls that have been without an answer for
	// suspectAfter.
	overdueCalls map[*supervisedCall]struct{}

	// resultMutex orders the results of calls. It is taken before mutex.
	resultMutex sync.Mutex
	// probes are the goroutines of probes; probing has the addresses that are probed.
	probes  sync.WaitGroup
	probing map[string]bool
}

// New makes a client that knows nothing until Run has had an answer.
func New(config Config) *Client {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	client := &Client{
		config:       config,
		started:      time.Now(),
		zone:         config.Zone,
		state:        state{failedAt: make(map[string]time.Duration), versionOnly: config.VersionOnly},
		overdueCalls: make(map[*supervisedCall]struct{}),
		probing:      make(map[string]bool),
	}
	client.watch = func(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
		return rpc.Call[protocol.WatchRequest, protocol.WatchAnswer](ctx, config.Client, address, protocol.MethodWatch, request)
	}
	return client
}

// Leader returns the address to send calls to; false if none is known.
func (c *Client) Leader() (address string, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.leader, c.state.leader != ""
}

// PreviousLeader returns the leader that was last forgotten; false if there is none. It
// may still lead, with its answers lost or its lease not renewed in time; if not, it may
// know who does.
func (c *Client) PreviousLeader() (address string, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.previousLeader, c.state.previousLeader != ""
}

// ObserveHint takes in the leader's address from a rejection with rpc.CodeNotLeader. An
// empty address means that the scheduler knows no leader.
func (c *Client) ObserveHint(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.observeHint(c.now(), address) {
		c.interruptIteration()
	}
}

// ReportFailure records that a call to the address had no answer.
func (c *Client) ReportFailure(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.observeFailure(c.now(), address) {
		c.interruptIteration()
	}
}

// ObserveToken records a fencing token, and reports whether it is not lower than the
// highest seen. An answer with a lower one must be dropped.
func (c *Client) ObserveToken(token uint64) (current bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current, raised := c.state.observeToken(token)
	if raised {
		c.interruptIteration()
	}
	return current
}

// Token returns the highest fencing token seen.
func (c *Client) Token() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.token
}

// ConfigVersion returns the version of the configuration in force here; 0 before the
// first.
func (c *Client) ConfigVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.configVersion
}

// Config returns the configuration in force here; nil before the first. It must not be
// changed.
func (c *Client) Config() *api.Config {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.config
}

// Fresh reports whether the lease of the last answer has not expired.
func (c *Client) Fresh() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.fresh(c.now())
}

// Age returns the time since the last answer; false if there was none.
func (c *Client) Age() (age time.Duration, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.freshUntil == 0 {
		return 0, false
	}
	return c.now() - c.state.answeredAt, true
}

// SetZone changes the zone that later watch calls name.
func (c *Client) SetZone(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.zone = zone
}

func (c *Client) now() time.Duration { return time.Since(c.started) }
