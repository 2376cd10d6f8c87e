package scheduler

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
)

// Config configures a Service.
type Config struct {
	// Archive is the store to which the record writes ended jobs.
	Archive record.Archive
	// ArchiveBytes is the maximum size of the archive, in bytes: beyond it the oldest
	// ended jobs are dropped. Default: DefaultArchiveBytes.
	ArchiveBytes int64
	// NewPlanner returns an empty planner; it is called once per term.
	NewPlanner func() Planner
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// DisabledFeatures has the features that an experiment disables. Default: none.
	DisabledFeatures featuregate.DisabledSet
	// Now reads the monotonic clock. Default: time since the call of NewService.
	Now func() time.Duration
}

// Service runs a leader during each term in which its replica leads, and refuses
// calls while it does not lead.
type Service struct {
	config  Config
	metrics *metrics
	log     replica.Log
	leader  atomic.Pointer[leader]
}

// NewService returns a Service. SetLog must be called before it is used.
func NewService(config Config) *Service {
	if config.ArchiveBytes == 0 {
		config.ArchiveBytes = DefaultArchiveBytes
	}
	if config.Now == nil {
		started := time.Now()
		config.Now = func() time.Duration { return time.Since(started) }
	}
	service := &Service{config: config, metrics: newMetrics(config.Registerer)}
	config.Registerer.MustRegister(newStateCollector(service))
	return service
}

// SetLog sets the replica's log. It is not part of Config because the replica is created
// with Lead, and so after the Service.
func (s *Service) SetLog(log replica.Log) { s.log = log }

// Lead runs a leader until the leadership ends.
func (s *Service) Lead(leadership replica.Leadership) {
	current := newLeader(leaderConfig{
		Log: s.log, Archive: s.config.Archive, ArchiveBytes: s.config.ArchiveBytes, Planner: s.config.NewPlanner(), Logger: s.config.Logger,
		Metrics: s.metrics, Now: s.config.Now, Leadership: leadership, DisabledFeatures: s.config.DisabledFeatures,
	})
	s.config.Logger.Info("started leading", slog.Uint64("token", leadership.Token))
	current.run(func() { s.leader.Store(current) })
	s.leader.CompareAndSwap(current, nil)
	s.config.Logger.Info("stopped leading", slog.Uint64("token", leadership.Token))
}

// Register registers the methods that only the leader serves.
func (s *Service) Register(server *rpc.Server) {
	handle(s, server, protocol.MethodHeartbeat, (*leader).heartbeat)
	handle(s, server, protocol.MethodLeave, (*leader).leave)
	handle(s, server, protocol.MethodWatch, (*leader).watch)

	handle(s, server, protocol.MethodSubmit, (*leader).submit)
	handle(s, server, protocol.MethodCancel, (*leader).cancel)
	handle(s, server, protocol.MethodCancelMany, (*leader).cancelMany)
	handle(s, server, protocol.MethodGetJob, (*leader).getJob)
	handle(s, server, protocol.MethodListJobs, (*leader).listJobs)

	handle(s, server, protocol.MethodGetConfig, (*leader).getConfig)
	handle(s, server, protocol.MethodPutConfig, (*leader).putConfig)
	handle(s, server, protocol.MethodValidateConfig, (*leader).validateConfig)
	handle(s, server, protocol.MethodConfigVersions, (*leader).configVersions)
	handle(s, server, protocol.MethodRollout, (*leader).rollout)

	handle(s, server, protocol.MethodBookings, (*leader).listReservations)
	handle(s, server, protocol.MethodRelease, (*leader).releaseReservation)

	handle(s, server, protocol.MethodDrainZone, (*leader).drainZone)
	handle(s, server, protocol.MethodDrains, (*leader).listDrains)

	handle(s, server, protocol.MethodWorkers, (*leader).listWorkers)
	handle(s, server, protocol.MethodMembers, (*leader).listMembers)
	handle(s, server, protocol.MethodQueues, (*leader).listQueues)
	handle(s, server, protocol.MethodQueue, (*leader).readQueue)
}

// handle registers a method that the current leader serves. Without one, calls fail with
// notLeaderError.
func handle[Request, Answer any](
	s *Service, server *rpc.Server, method protocol.Method,
	serve func(*leader, context.Context, Request) (Answer, error),
) {
	rpc.Handle(server, method, func(ctx context.Context, request Request) (Answer, error) {
		current := s.leader.Load()
		if current == nil {
			var none Answer
			return none, notLeaderError(s.log)
		}
		return serve(current, ctx, request)
	})
}
