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

// leaderComponent is the client of the leader in /readyz.
const leaderComponent = "leader"

// descriptorsPerForwardedRequest is the number of file descriptors of a request in flight:
// the connection that it arrived on, and one to the leader.
const descriptorsPerForwardedRequest = 2

// LeaderClientConfig describes a process that is a client of the leader; T is its
// settings. Role and CallTimeout are required.
type LeaderClientConfig[T any] struct {
	BaseConfig[T]
	// Role is the process's role as the leader knows it.
	Role string
	// VersionOnly is set if the process needs the version of the configuration only.
	VersionOnly bool
	// CallTimeout bounds every call, beyond the shorter bounds of single calls.
	CallTimeout time.Duration
}

// LeaderClientBase is what fronts, agents and relays have in common: a client of the
// leader, and readiness that depends on it.
type LeaderClientBase[T any] struct {
	*Base[T]
	Client *rpc.Client
	Leader *leaderclient.Client

	config LeaderClientConfig[T]
	seeds  atomic.Pointer[[]string]
}

// NewLeaderClientBase makes the parts and starts nothing.
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
		Metrics: base.Calls,
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

// Run serves until the context ends or a signal stops the process.
func (l *LeaderClientBase[T]) Run(ctx context.Context, handler http.Handler, extra []daemon.Listener) error {
	defer l.Client.Close()
	config := l.Daemon(l.readiness(), l.Leader.Run)
	config.Handler = handler
	config.Extra = extra
	config.DescriptorsPerConnection = descriptorsPerForwardedRequest
	return daemon.Run(ctx, config)
}

// apply applies what can change while the process runs.
func (l *LeaderClientBase[T]) apply(changed T) {
	common := l.config.Common(&changed)
	l.seeds.Store(&common.Seeds)
	l.Leader.SetZone(common.Zone)
	if l.config.Apply != nil {
		l.config.Apply(changed)
	}
}

// readiness is true while the leader answers.
func (l *LeaderClientBase[T]) readiness() Readiness {
	return Readiness{
		Component: leaderComponent,
		Unready:   "the leading scheduler has not answered lately",
		Ready:     l.Leader.Fresh,
	}
}
