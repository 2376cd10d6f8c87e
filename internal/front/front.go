package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/rpc"
)

// Defaults of Settings.
const (
	// DefaultDeadline limits all attempts of a call to the leader together.
	DefaultDeadline = 3 * time.Second
	// DefaultMaxInflight limits the requests that are in flight at the same time.
	DefaultMaxInflight = 1024
)

// LeaderLink tracks the leader and the configuration in force in this process.
// *leaderclient.Client implements it.
type LeaderLink interface {
	// Leader returns the address of the leader; ok is false if no leader is known.
	Leader() (address string, ok bool)
	// ObserveHint records the leader's address as given by a scheduler that is not the
	// leader; empty if that scheduler knows no leader.
	ObserveHint(address string)
	// ReportFailure records that a call to the address got no answer.
	ReportFailure(address string)
	// Supervise supervises a call to the leader at the address: the returned context is
	// cancelled once another scheduler is known to lead. The caller must call the returned
	// function when the call has ended.
	Supervise(ctx context.Context, address string) (context.Context, context.CancelFunc)
	// Config returns the configuration in force in this process; nil if none has been
	// received yet. The caller must not modify it.
	Config() *api.Config
	// Fresh reports whether the lease of the leader's last answer is still valid.
	Fresh() bool
}

// Settings may change while the front is serving. A value of 0 means the default.
type Settings struct {
	// Deadline limits all attempts of a call to the leader together; the wait time of a
	// long poll comes on top. Default 3s.
	Deadline time.Duration
	// MaxInflight limits the long polls in flight and, separately, all other requests in
	// flight, so that long polls never block submissions. Half of the limit on the other
	// requests is guaranteed: it is divided by weight among the submissions of each queue
	// and the requests that are not submissions. Default 1024.
	MaxInflight int
}

// Config holds the dependencies and settings of a Front. Link and Client are required.
type Config struct {
	Link LeaderLink
	// Client makes the calls to the leader. Its timeout must be longer than
	// MaxAttemptDuration.
	Client *rpc.Client
	// Settings are the initial settings; Apply replaces them.
	Settings Settings
	// Status serves /healthz, /readyz and /metrics. Optional.
	Status http.Handler
	// Logger is optional. Default: discard all records.
	Logger *slog.Logger
	// Registerer registers the front's metrics. Optional.
	Registerer prometheus.Registerer
}

// Front serves the HTTP interface. It is an http.Handler.
type Front struct {
	link     LeaderLink
	client   *rpc.Client
	logger   *slog.Logger
	settings atomic.Pointer[Settings]
	limits   *localLimits
	metrics  *metrics
	handler  http.Handler
}

// New returns a front that is ready to serve. It starts no goroutines.
func New(config Config) (*Front, error) {
	if config.Link == nil || config.Client == nil {
		return nil, errors.New("a front needs a link to the leader and an rpc client")
	}
	front := &Front{link: config.Link, client: config.Client, logger: config.Logger, limits: newLocalLimits()}
	if front.logger == nil {
		front.logger = slog.New(slog.DiscardHandler)
	}
	frontMetrics, err := newMetrics(config.Registerer, front.limits)
	if err != nil {
		return nil, err
	}
	front.metrics = frontMetrics
	front.Apply(config.Settings)
	front.handler = front.routes(config.Status)
	return front, nil
}

// Apply replaces the settings. A call to the leader that has already started keeps its
// deadline.
func (f *Front) Apply(settings Settings) {
	if settings.Deadline <= 0 {
		settings.Deadline = DefaultDeadline
	}
	if settings.MaxInflight <= 0 {
		settings.MaxInflight = DefaultMaxInflight
	}
	f.settings.Store(&settings)
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.handler.ServeHTTP(writer, request)
}

// limitConfig returns the limits of the configuration in force in this process, or the
// defaults if there is no configuration yet.
func (f *Front) limitConfig() api.LimitConfig {
	if config := f.link.Config(); config != nil {
		return config.Limits.WithDefaults()
	}
	return api.LimitConfig{}.WithDefaults()
}
