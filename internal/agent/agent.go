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
	// HeartbeatPath is where workers post their heartbeats.
	HeartbeatPath = "/v1/heartbeat"
	// maxHeartbeatBytes is the largest body of a heartbeat.
	maxHeartbeatBytes = 1 << 20
)

// Config is what an Agent needs. All but Status, Logger and Registerer is required.
type Config struct {
	// Name is the agent's process name.
	Name string
	// Zone returns the zone that is in the settings now; it becomes the "zone" label of
	// the workers.
	Zone func() string
	// RelayTimeout bounds the relay of one heartbeat, on the monotonic clock.
	RelayTimeout time.Duration
	// Link tracks the leader; it needs only the version of the configuration.
	Link *leaderclient.Client
	// Client carries the calls to schedulers.
	Client *rpc.Client
	// Status serves /healthz, /readyz and /metrics. Optional.
	Status http.Handler
	// Logger defaults to none.
	Logger *slog.Logger
	// Registerer takes the agent's metrics. Optional.
	Registerer prometheus.Registerer
}

// Agent serves the workers of one machine. It is an http.Handler.
type Agent struct {
	config  Config
	routes  *http.ServeMux
	workers *sequences
	// departures are the workers that gave notice that they leave.
	departures *departures
	metrics    *metrics
}

// New returns an agent that is ready to serve; it starts no goroutine.
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
	a := &Agent{config: config, routes: http.NewServeMux(), workers: newSequences(), departures: newDepartures(), metrics: metrics}
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
	answer, refusal := a.relayNewest(request.Context(), heartbeat)
	if refusal != nil {
		httpjson.WriteError(writer, refusal)
		return
	}
	httpjson.Write(writer, http.StatusOK, answer)
}

// Heartbeat relays one heartbeat of a worker, as a POST to HeartbeatPath does.
func (a *Agent) Heartbeat(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, *api.Error) {
	if fields := validateHeartbeat(heartbeat); len(fields) > 0 {
		a.metrics.countResult(resultInvalid)
		return api.HeartbeatAnswer{}, httpjson.Invalid("heartbeat", fields)
	}
	return a.relayNewest(ctx, heartbeat)
}

// relayNewest relays a heartbeat, unless a newer one of the worker has come before or
// comes meanwhile.
func (a *Agent) relayNewest(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, *api.Error) {
	ctx, cancel := context.WithTimeout(ctx, a.config.RelayTimeout)
	defer cancel()
	ticket, ok := a.workers.beginRelay(heartbeat.WorkerID, heartbeat.Seq, cancel, time.Now())
	if !ok {
		a.metrics.countResult(resultOldSeq)
		return api.HeartbeatAnswer{}, oldSeq(heartbeat)
	}
	answer, refusal := a.relay(ctx, a.departures.annotate(heartbeat, time.Now()))
	isNewest := a.workers.endRelay(ticket)
	if refusal == nil && !isNewest {
		a.metrics.countResult(resultSuperseded)
		refusal = unavailable("a newer heartbeat of this worker came in")
	}
	if refusal == nil {
		a.metrics.countResult(resultRelayed)
	}
	return answer, refusal
}
