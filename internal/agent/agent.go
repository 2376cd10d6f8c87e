package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// HeartbeatPath is the route to which workers post heartbeats.
	HeartbeatPath = "/v1/heartbeat"
	// maxHeartbeatBytes is the maximum size of a heartbeat's body.
	maxHeartbeatBytes = 1 << 20
)

// Config configures an Agent. All fields except Status, Logger and Registerer are
// required.
type Config struct {
	// Name is the agent's process name.
	Name string
	// Zone returns the zone in the current settings. The agent sets it as the "zone" label
	// of its workers.
	Zone func() string
	// RelayTimeout bounds the relay of one heartbeat or leave notice, on the monotonic
	// clock.
	RelayTimeout time.Duration
	// Link tracks the leader. The agent uses only the version of the configuration.
	Link *leaderclient.Client
	// Client makes the calls to schedulers.
	Client *rpc.Client
	// Status serves /healthz, /readyz and /metrics. Optional.
	Status http.Handler
	// Logger defaults to one that discards everything.
	Logger *slog.Logger
	// Registerer registers the agent's metrics. Optional.
	Registerer prometheus.Registerer
}

// Agent serves the workers of one machine. It is an http.Handler.
type Agent struct {
	config    Config
	routes    *http.ServeMux
	sequences *sequences
	// departures has the workers that sent a leave notice.
	departures *departures
	metrics    *metrics
}

// New returns an agent that is ready to serve. It starts no goroutine.
func New(config Config) (*Agent, error) {
	if config.Name == "" || config.Zone == nil || config.Link == nil || config.Client == nil || config.RelayTimeout <= 0 {
		return nil, errors.New("agent: Name, Zone, RelayTimeout, Link and Client are required")
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	metrics, err := newMetrics(config.Registerer, config.Link)
	if err != nil {
		return nil, err
	}
	a := &Agent{config: config, routes: http.NewServeMux(), sequences: newSequences(), departures: newDepartures(), metrics: metrics}
	a.routes.HandleFunc(HeartbeatPath, a.serveHeartbeat)
	a.routes.HandleFunc(LeavePath, a.serveLeave)
	if config.Status != nil {
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			a.routes.Handle(path, config.Status)
		}
	}
	a.routes.HandleFunc("/", serveNotFound)
	return a, nil
}

// ServeHTTP implements http.Handler.
func (a *Agent) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	a.routes.ServeHTTP(writer, request)
}

func (a *Agent) serveHeartbeat(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		rejectMethod(writer, HeartbeatPath)
		return
	}
	heartbeat, refusal := readHeartbeat(http.MaxBytesReader(writer, request.Body, maxHeartbeatBytes))
	if refusal != nil {
		a.metrics.countResult(resultInvalid)
		httpjson.WriteError(writer, refusal)
		return
	}
	answer, refusal := a.relayIfNewest(request.Context(), heartbeat)
	if refusal != nil {
		httpjson.WriteError(writer, refusal)
		return
	}
	httpjson.Write(writer, http.StatusOK, answer)
}

// Heartbeat validates and relays one heartbeat of a worker, like a POST to HeartbeatPath.
func (a *Agent) Heartbeat(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, *api.Error) {
	if fields := validateHeartbeat(heartbeat); len(fields) > 0 {
		a.metrics.countResult(resultInvalid)
		return api.HeartbeatAnswer{}, httpjson.Invalid("heartbeat", fields)
	}
	return a.relayIfNewest(ctx, heartbeat)
}

// relayIfNewest relays a heartbeat. It returns an error if a heartbeat of the worker with
// the same or a higher seq came before, or a newer one arrives during the relay.
func (a *Agent) relayIfNewest(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, *api.Error) {
	ctx, cancel := context.WithTimeout(ctx, a.config.RelayTimeout)
	defer cancel()
	ticket, ok := a.sequences.beginRelay(heartbeat.WorkerID, heartbeat.Seq, cancel, time.Now())
	if !ok {
		a.metrics.countResult(resultOldSeq)
		return api.HeartbeatAnswer{}, oldSeq(heartbeat)
	}
	answer, refusal := a.relay(ctx, a.departures.annotate(heartbeat, time.Now()))
	isNewest := a.sequences.endRelay(ticket)
	if refusal == nil && !isNewest {
		a.metrics.countResult(resultSuperseded)
		refusal = unavailable("a newer heartbeat of this worker came in")
	}
	if refusal == nil {
		a.metrics.countResult(resultRelayed)
	}
	return answer, refusal
}
