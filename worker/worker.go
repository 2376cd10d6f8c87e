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
	// DefaultDrainTimeout is how long open runs may go on once Run's context
	// has ended.
	DefaultDrainTimeout = time.Second
	// DefaultReportTimeout is how long a draining worker then waits for its
	// handlers to return and their reports to be acknowledged.
	DefaultReportTimeout = 700 * time.Millisecond
)

// ErrHandlersRunning is returned by Run if handlers ignored their cancelled
// context until the end. The process should exit: nothing guards them now.
var ErrHandlersRunning = errors.New("handlers ignore their cancelled context")

// Clock is a monotonic clock: the time since an arbitrary start, which goes
// on while the process is frozen.
type Clock func() time.Duration

// Event is the beginning or end of a handler, for journals.
type Event struct {
	api.RunRef
	WorkerID string
	// Worker is the worker's Name.
	Worker string
	// Token is that of the answer which ordered the run.
	Token uint64
	// Outcome is empty at the start.
	Outcome api.Outcome
}

// Config is what a Worker needs.
type Config struct {
	// Name stays the same over restarts. Required.
	Name string
	// AgentURL is the agent of this machine, such as "http://127.0.0.1:7300".
	// Required.
	AgentURL string
	// Capacity is the whole room of the worker.
	Capacity api.Resources
	// Labels describe the worker.
	Labels map[string]string
	// HTTPClient is used for heartbeats; it must not send a request twice.
	// Default: a client of its own.
	HTTPClient *http.Client
	// Logger defaults to none.
	Logger *slog.Logger
	// Clock is injected by tests. Default: the time since New.
	Clock Clock
	// OnStart and OnEnd are called in the handler's goroutine right before it
	// begins and right after it has ended. Optional.
	OnStart, OnEnd func(Event)
	// DrainTimeout and ReportTimeout bound the two parts of leaving. Defaults:
	// DefaultDrainTimeout, DefaultReportTimeout; negative means none.
	DrainTimeout, ReportTimeout time.Duration
}

// Worker runs tasks for one life of a process. Make it with New.
type Worker struct {
	config   Config
	workerID string
	client   *client

	mutex    sync.Mutex
	handlers map[string]Handler
	started  bool
}

// New makes a worker with a new random worker id.
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

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return max(value, 0)
}

// ID returns the worker id of this life.
func (w *Worker) ID() string { return w.workerID }

// Handle registers the handler of a service. It panics if the service has one
// already or if Run was called, as both are mistakes in the program.
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

// Run works until ctx ends, then drains: it takes no new runs, cancels those
// open after DrainTimeout, reports how they ended and returns nil. It may be
// called once. Failing heartbeats are not an error; Run goes on trying.
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
