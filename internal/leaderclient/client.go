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

// Config configures a Client. All fields but VersionOnly, Logger and OnConfig are required.
type Config struct {
	// Process is the name of this process, Role is "front" or "agent", and Zone is the
	// initial zone of the process (see SetZone).
	Process, Role, Zone string
	// Seeds returns the addresses of schedulers in the current settings.
	Seeds func() []string
	// VersionOnly says that this process needs only the version of the configuration and
	// not its content: Client.Config returns nil, and OnConfig is called with nil.
	VersionOnly bool
	// Client sends the calls. Its timeout must be longer than MaxCallDuration.
	Client *rpc.Client
	// Logger defaults to none.
	Logger *slog.Logger
	// OnConfig is called with each newer configuration before the client confirms the
	// version to the leader. Calls do not overlap, and end before Run returns. A version
	// from an answer to a heartbeat is adopted without a call. Optional; it must not block
	// for long.
	OnConfig func(version uint64, config *api.Config)
}

// watchFunc makes one watch call.
type watchFunc func(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error)

// Client finds and watches the leader. Its methods are safe for concurrent use.
type Client struct {
	config Config
	watch  watchFunc
	// started is when the client was created; times in state are durations since then.
	started time.Time

	// mutex guards the fields up to overdueCalls, and probing.
	mutex sync.Mutex
	zone  string
	state state
	// redirects counts the hints followed since the last accepted answer.
	redirects int
	// interrupt cancels the current iteration of Run; nil between iterations.
	interrupt context.CancelFunc
	// overdueCalls has the supervised calls that are unanswered after suspectAfter.
	overdueCalls map[*supervisedCall]struct{}

	// resultMutex serialises the handling of results of calls. It is taken before mutex.
	resultMutex sync.Mutex
	// probes counts the goroutines of probes; probing has the addresses being probed.
	probes  sync.WaitGroup
	probing map[string]bool
}

// New returns a client. It knows no leader and no configuration until Run receives an answer
// or ObserveHint names a leader.
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

// Leader returns the address of the leader, to which calls should go; false if none is known.
func (c *Client) Leader() (address string, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.leader, c.state.leader != ""
}

// PreviousLeader returns the address of the leader that the client dropped last; false if
// there is none. That scheduler may still be the leader, if only its answers were lost or
// its lease was not renewed in time. Otherwise it may know the new leader.
func (c *Client) PreviousLeader() (address string, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.previousLeader, c.state.previousLeader != ""
}

// ObserveHint records the leader's address from a rejection with rpc.CodeNotLeader. An
// empty address means that the rejecting scheduler knows no leader.
func (c *Client) ObserveHint(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.observeHint(c.now(), address) {
		c.interruptIteration()
	}
}

// ReportFailure records that a call to the address was not answered.
func (c *Client) ReportFailure(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.observeFailure(c.now(), address) {
		c.interruptIteration()
	}
}

// ObserveToken records a fencing token, and returns false if it is lower than the highest
// token seen. The caller must then discard the answer that carried it.
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

// ConfigVersion returns the version of the configuration in force in this process; 0 before
// the first configuration.
func (c *Client) ConfigVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.configVersion
}

// Config returns the configuration in force in this process; nil before the first one and
// with Config.VersionOnly. The caller must not modify it.
func (c *Client) Config() *api.Config {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.config
}

// Fresh reports whether a lease granted by the leader has not expired.
func (c *Client) Fresh() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.fresh(c.now())
}

// TimeSinceAnswer returns the time since the leader's last answer; false if there was none.
func (c *Client) TimeSinceAnswer() (age time.Duration, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.freshUntil == 0 {
		return 0, false
	}
	return c.now() - c.state.answeredAt, true
}

// SetZone changes the zone that is sent with later watch calls.
func (c *Client) SetZone(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.zone = zone
}

// now returns the time since the client was created, as state uses it.
func (c *Client) now() time.Duration { return time.Since(c.started) }
