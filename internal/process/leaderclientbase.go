package process

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/rpc"
)

// leaderPart is the part in /readyz for the client of the leader.
const leaderPart = "leader"

// descriptorsPerForwardedRequest is the number of file descriptors that a request in flight
// uses: one for the incoming connection and one for the connection to the leader.
const descriptorsPerForwardedRequest = 2

// LeaderClientConfig configures a LeaderClientBase; T is the type of the process's
// settings. Role and CallTimeout are required.
type LeaderClientConfig[T any] struct {
	BaseConfig[T]
	// Role is the role that the process reports to the leader.
	Role string
	// VersionOnly is true if the process needs the configuration's version but not its
	// content.
	VersionOnly bool
	// CallTimeout bounds every call. Contexts of individual calls may set shorter bounds.
	CallTimeout time.Duration
}

// LeaderClientBase contains what fronts, agents and relays have in common: a client of the
// leader, and readiness that depends on this client.
type LeaderClientBase[T any] struct {
	*Base[T]
	Client *rpc.Client
	Leader *leaderclient.Client

	config LeaderClientConfig[T]
	seeds  atomic.Pointer[[]string]
}

// NewLeaderClientBase creates a LeaderClientBase. Run starts it.
func NewLeaderClientBase[T any](config LeaderClientConfig[T]) (*LeaderClientBase[T], error) {
	l := &LeaderClientBase[T]{config: config}
	baseConfig := config.BaseConfig
	baseConfig.Apply = l.apply
	base, err := NewBase(baseConfig)
	if err != nil {
		return nil, err
	}
	l.Base = base
	common := base.common()
	l.seeds.Store(&common.Seeds)
	l.Client = rpc.NewClient(rpc.ClientConfig{
		Timeout: config.CallTimeout,
		Dialer:  rpc.DialFrom(common.Source),
		Metrics: base.CallMetrics,
	})
	l.Leader = leaderclient.New(leaderclient.Config{
		Process: common.Name,
		Role:    config.Role,

		VersionOnly: config.VersionOnly,
		Zone:        common.Zone,
		Seeds:       func() []string { return *l.seeds.Load() },
		Client:      l.Client,
		Logger:      l.Logger,
	})
	l.CheckHealth(l.readiness())
	return l, nil
}

// Run serves handler, and the extra listeners, until ctx ends or a signal stops the process.
// It closes Client before it returns.
func (l *LeaderClientBase[T]) Run(ctx context.Context, handler http.Handler, extra []daemon.Listener) error {
	defer l.Client.Close()
	config := l.DaemonConfig(l.readiness(), l.Leader.Run)
	config.Handler = handler
	config.ExtraListeners = extra
	config.DescriptorsPerConnection = descriptorsPerForwardedRequest
	return daemon.Run(ctx, config)
}

// apply applies the settings that can change while the process runs.
func (l *LeaderClientBase[T]) apply(changed T) {
	common := l.config.Common(&changed)
	l.seeds.Store(&common.Seeds)
	l.Leader.SetZone(common.Zone)
	if l.config.Apply != nil {
		l.config.Apply(changed)
	}
}

// readiness returns the readiness of the process, which is ready while the lease of the
// leader's last answer has not expired.
func (l *LeaderClientBase[T]) readiness() Readiness {
	return Readiness{
		Part:          leaderPart,
		UnreadyReason: "the leading scheduler has not answered lately",
		Ready:         l.Leader.Fresh,
	}
}
