package worker

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/decklever/decklever/api"
)

const (
	// DefaultDrainTimeout is how long open runs may continue after the context
	// of Run was cancelled.
	DefaultDrainTimeout = time.Second
	// DefaultReportTimeout is how long a draining worker waits, after the drain
	// timeout, for its handlers to return and for their reports to be
	// acknowledged.
	DefaultReportTimeout = 700 * time.Millisecond
)

// ErrHandlersRunning is returned by Run if handlers did not return after their
// context was cancelled. The process should exit, since the worker no longer
// watches the lease for those handlers.
var ErrHandlersRunning = errors.New("handlers did not return after their context was cancelled")

// Clock is a monotonic clock: the time since an arbitrary start, which also
// advances while the process is suspended.
type Clock func() time.Duration

// Event is the start or end of a handler; see Config.OnStart.
type Event struct {
	api.RunRef
	WorkerID string
	// Worker is the worker's name.
	Worker string
	// Token is the fencing token of the answer that ordered the run.
	Token uint64
	// Outcome is empty when the handler starts.
	Outcome api.Outcome
}

// Config configures a Worker.
type Config struct {
	// Name identifies the worker and must not change when it restarts.
	// Required.
	Name string
	// AgentURL is the base URL of this machine's agent, such as
	// "http://127.0.0.1:7300". Required.
	AgentURL string
	// Capacity is the total resources of the worker.
	Capacity api.Resources
	// Labels describe the worker; tasks can select workers by label. Default:
	// none.
	Labels map[string]string
	// HTTPClient sends the heartbeats; it must not retry a request. Default: a
	// new client that the worker does not share.
	HTTPClient *http.Client
	// Logger receives the worker's log messages. Default: they are discarded.
	Logger *slog.Logger
	// Clock is replaced in tests. Default: the time since New was called.
	Clock Clock
	// OnStart and OnEnd are called in the handler's goroutine immediately
	// before the handler starts and after it has returned. Optional.
	OnStart, OnEnd func(Event)
	// DrainTimeout and ReportTimeout bound the two phases of the shutdown. 0
	// means DefaultDrainTimeout and DefaultReportTimeout; a negative value means
	// no time.
	DrainTimeout, ReportTimeout time.Duration
}

// Worker runs tasks for one incarnation of a worker, from New until Run returns.
// Create it with New. The mutex guards handlers and started; once Run has been
// called, handlers does not change and is read without the mutex.
type Worker struct {
	config   Config
	workerID string
	client   *client

	mutex    sync.Mutex
	handlers map[string]Handler
	started  bool
}

// New returns a worker with a new random worker id.
func New(config Config) (*Worker, error) {
	if config.Name == "" {
		return nil, errors.New("worker: Name is empty")
	}
	address, err := url.Parse(config.AgentURL)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		return nil, fmt.Errorf("worker: AgentURL is %q, expected a URL such as \"http://127.0.0.1:7300\"", config.AgentURL)
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Clock == nil {
		started := time.Now()
		config.Clock = func() time.Duration { return time.Since(started) }
	}
	config.DrainTimeout = orDefault(config.DrainTimeout, DefaultDrainTimeout)
	config.ReportTimeout = orDefault(config.ReportTimeout, DefaultReportTimeout)
	return &Worker{
		config:   config,
		workerID: uuid.NewString(),
		client:   newClient(address, config.HTTPClient),
		handlers: make(map[string]Handler),
	}, nil
}

// orDefault returns the fallback for 0, and 0 for a negative value.
func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return max(value, 0)
}

// ID returns the worker id, which identifies this incarnation of the worker.
func (w *Worker) ID() string { return w.workerID }

// Handle registers the handler of a service. It panics if the service is empty
// or already has a handler, if handler is nil, or if Run was called, since these
// are programming errors.
func (w *Worker) Handle(service string, handler Handler) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.started {
		panic("worker: Handle called after Run")
	}
	if service == "" || handler == nil {
		panic("worker: Handle called with an empty service or a nil handler")
	}
	if _, registered := w.handlers[service]; registered {
		panic("worker: service " + service + " already has a handler")
	}
	w.handlers[service] = handler
}

// Run runs tasks until ctx is cancelled and then drains the worker: it rejects
// new runs, cancels the open runs after DrainTimeout, reports how they ended and
// returns nil. It returns ErrHandlersRunning if handlers did not return within
// ReportTimeout after that, and an error if it was called before. Failed
// heartbeats are not an error; Run continues to send them.
func (w *Worker) Run(ctx context.Context) error {
	w.mutex.Lock()
	started := w.started
	w.started = true
	w.mutex.Unlock()
	if started {
		return errors.New("worker: Run was already called")
	}
	return newLoop(w).run(ctx)
}

// identity returns the description of the worker for its heartbeats.
func (w *Worker) identity() identity {
	services := make([]string, 0, len(w.handlers))
	for service := range w.handlers {
		services = append(services, service)
	}
	slices.Sort(services)
	return identity{
		WorkerID: w.workerID,
		Name:     w.config.Name,
		Capacity: w.config.Capacity,
		Services: services,
		Labels:   w.config.Labels,
	}
}
