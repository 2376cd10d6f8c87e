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
	// DefaultDrainTimeout is how long open runs may continue once Run's
	// context has ended.
	DefaultDrainTimeout = time.Second
	// DefaultReportTimeout is how long a draining worker then waits for its
	// handlers to return and their reports to be acknowledged.
	DefaultReportTimeout = 700 * time.Millisecond
)

// ErrHandlersRunning is returned by Run if handlers did not return after
// their context was cancelled. The process should exit, since nothing guards
// those handlers any more.
var ErrHandlersRunning = errors.New("handlers ignore their cancelled context")

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
	// Outcome is empty at the start.
	Outcome api.Outcome
}

// Config configures a Worker.
type Config struct {
	// Name identifies the worker and stays the same over restarts. Required.
	Name string
	// AgentURL is the base URL of this machine's agent, such as
	// "http://127.0.0.1:7300". Required.
	AgentURL string
	// Capacity is the total resources of the worker.
	Capacity api.Resources
	// Labels describe the worker; tasks select workers by them. Default:
	// none.
	Labels map[string]string
	// HTTPClient sends heartbeats; it must not send a request twice. Default:
	// a client of its own.
	HTTPClient *http.Client
	// Logger gets the worker's log messages. Default: none.
	Logger *slog.Logger
	// Clock is set by tests. Default: the time since New.
	Clock Clock
	// OnStart and OnEnd are called in the handler's goroutine immediately
	// before the handler starts and after it has returned. Optional.
	OnStart, OnEnd func(Event)
	// DrainTimeout and ReportTimeout bound the two phases of the shutdown.
	// Defaults: DefaultDrainTimeout, DefaultReportTimeout; negative means no
	// time.
	DrainTimeout, ReportTimeout time.Duration
}

// Worker runs tasks for one life of a process. Create it with New. The mutex
// guards handlers and started until Run is called; after that handlers do not
// change.
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
		return nil, fmt.Errorf("worker: AgentURL is %q, expected such as \"http://127.0.0.1:7300\"", config.AgentURL)
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

// ID returns the worker id, which identifies this life of the process.
func (w *Worker) ID() string { return w.workerID }

// Handle registers the handler of a service. It panics if the service already
// has one or if Run was called, since both are mistakes in the program.
func (w *Worker) Handle(service string, handler Handler) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.started {
		panic("worker: Handle after Run")
	}
	if service == "" || handler == nil {
		panic("worker: Handle without a service or handler")
	}
	if _, taken := w.handlers[service]; taken {
		panic("worker: service " + service + " has a handler already")
	}
	w.handlers[service] = handler
}

// Run works until ctx ends and then shuts down: it accepts no new runs,
// cancels the open ones after DrainTimeout, reports how they ended and
// returns nil. It returns ErrHandlersRunning if handlers did not return. It
// can be called once. Failing heartbeats are not an error; Run keeps sending
// them.
func (w *Worker) Run(ctx context.Context) error {
	w.mutex.Lock()
	started := w.started
	w.started = true
	w.mutex.Unlock()
	if started {
		return errors.New("worker: Run was called before")
	}
	return newLoop(w).run(ctx)
}

// identity returns what heartbeats say about the worker.
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
