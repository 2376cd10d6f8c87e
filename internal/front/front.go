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
	// DefaultDeadline bounds a call to the leader with all its attempts.
	DefaultDeadline = 3 * time.Second
	// DefaultMaxInflight bounds the requests that are served at once.
	DefaultMaxInflight = 1024
)

// Link tracks the leader and the configuration in force here. *leaderclient.Client
// implements it.
type Link interface {
	// Leader returns the address of the leader, if it is known.
	Leader() (address string, ok bool)
	// ObserveHint takes in the leader's address according to a scheduler that does not
	// lead.
	ObserveHint(address string)
	// ReportFailure records that a call to the address had no answer.
	ReportFailure(address string)
	// Supervise watches over a call to the leader at the address: the returned context ends
	// once another one leads. The function must be called when the call has ended.
	Supervise(ctx context.Context, address string) (context.Context, context.CancelFunc)
	// Config returns the configuration in force here; nil before the first.
	Config() *api.Config
	// Fresh reports whether the lease of the last answer of the leader has not expired.
	Fresh() bool
}

// Settings may change while the front serves. A zero means the default.
type Settings struct {
	// Deadline bounds a call to the leader with all its attempts, beside the time of a
	// long poll. Default 3s.
	Deadline time.Duration
	// MaxInflight bounds the long polls that are served at once and, separately, all other
	// requests, so that long polls never exclude a submission. Half of it is guaranteed to
	// the submissions of each queue, by weight, and to requests that are no submissions.
	// Default 1024.
	MaxInflight int
}

// Config is what a Front needs. Link and Client are required.
type Config struct {
	Link Link
	// Client carries the calls. Its timeout must be longer than MaxAttemptDuration.
	Client *rpc.Client
	// Settings may be changed later with Apply.
	Settings Settings
	// Status serves /healthz, /readyz and /metrics. Optional.
	Status http.Handler
	// Logger defaults to none.
	Logger *slog.Logger
	// Registerer takes the front's metrics. Optional.
	Registerer prometheus.Registerer
}

// Front serves the HTTP interface. It is an http.Handler.
type Front struct {
	link     Link
	client   *rpc.Client
	logger   *slog.Logger
	settings atomic.Pointer[Settings]
	limits   *localLimits
	metrics  *metrics
	handler  http.Handler
}

// New returns a front that is ready to serve; it starts no goroutine.
func New(config Config) (*Front, error) {
	if config.Link == nil || config.Client == nil {
		return nil, errors.New("a front needs a link to the leader and an rpc client")
	}
	front := &Front{link: config.Link, client: config.Client, logger: config.Logger, limits: newLocalLimits()}
	if front.logger == nil {
		front.logger = slog.New(slog.DiscardHandler)
	}
	measured, err := newMetrics(config.Registerer, front.limits)
	if err != nil {
		return nil, err
	}
	front.metrics = measured
	front.Apply(config.Settings)
	front.handler = front.routes(config.Status)
	return front, nil
}

// Apply puts changed settings in force. Requests in flight keep the old ones.
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

// limitConfig returns the limits of the configuration in force here, or the defaults.
func (f *Front) limitConfig() api.LimitConfig {
	if config := f.link.Config(); config != nil {
		return config.Limits.WithDefaults()
	}
	return api.LimitConfig{}.WithDefaults()
}
