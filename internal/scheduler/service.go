package scheduler

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
)

// Config makes a Service.
type Config struct {
	// Archive is the store of ended jobs that the record writes.
	Archive record.Archive
	// NewPlanner makes an empty planner for each term.
	NewPlanner func() placement.Planner
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Now reads the monotonic clock. Default: time since the start.
	Now func() time.Duration
}

// Service runs a leader during each term in which its replica leads, and
// refuses calls at all other times.
type Service struct {
	config  Config
	metrics *metrics
	log     replica.Log
	leader  atomic.Pointer[leader]
}

// NewService returns a Service. SetLog must be called before it is used.
func NewService(config Config) *Service {
	if config.Now == nil {
		started := time.Now()
		config.Now = func() time.Duration { return time.Since(started) }
	}
	return &Service{config: config, metrics: newMetrics(config.Registerer)}
}

// SetLog gives the replica, which itself needs Lead to be made.
func (s *Service) SetLog(log replica.Log) { s.log = log }

// Lead works as the acting scheduler until the leadership ends.
func (s *Service) Lead(leadership replica.Leadership) {
	current := newLeader(leaderConfig{
		Log: s.log, Archive: s.config.Archive, Planner: s.config.NewPlanner(), Logger: s.config.Logger,
		Metrics: s.metrics, Now: s.config.Now, Leadership: leadership,
	})
	s.config.Logger.Info("acting", slog.Uint64("token", leadership.Token))
	current.run(func() { s.leader.Store(current) })
	s.leader.CompareAndSwap(current, nil)
	s.config.Logger.Info("no longer acting", slog.Uint64("token", leadership.Token))
}

// Register offers the calls that only the acting scheduler answers.
func (s *Service) Register(server *rpc.Server) {
	handle(s, server, fleet.MethodHeartbeat, func(l *leader, ctx context.Context, request fleet.HeartbeatRequest) (fleet.HeartbeatAnswer, error) {
		return l.heartbeat(ctx, request)
	})
	handle(s, server, fleet.MethodWatch, func(l *leader, ctx context.Context, request fleet.WatchRequest) (fleet.WatchAnswer, error) {
		return l.watch(ctx, request)
	})
	s.registerJobs(server)
	s.registerConfig(server)
	s.registerStatus(server)
}

func (s *Service) registerJobs(server *rpc.Server) {
	handle(s, server, fleet.MethodSubmit, func(l *leader, ctx context.Context, request fleet.SubmitRequest) (fleet.SubmitAnswer, error) {
		return l.submit(ctx, request)
	})
	handle(s, server, fleet.MethodCancel, func(l *leader, ctx context.Context, request fleet.CancelRequest) (fleet.JobAnswer, error) {
		return l.cancel(ctx, request)
	})
	handle(s, server, fleet.MethodGetJob, func(l *leader, ctx context.Context, request fleet.GetJobRequest) (fleet.JobAnswer, error) {
		return l.getJob(ctx, request)
	})
	handle(s, server, fleet.MethodListJobs, func(l *leader, _ context.Context, request fleet.ListJobsRequest) (fleet.ListJobsAnswer, error) {
		return l.listJobs(request)
	})
}

func (s *Service) registerConfig(server *rpc.Server) {
	handle(s, server, fleet.MethodGetConfig, func(l *leader, _ context.Context, _ fleet.Empty) (fleet.ConfigAnswer, error) {
		return l.getConfig()
	})
	handle(s, server, fleet.MethodPutConfig, func(l *leader, ctx context.Context, request fleet.PutConfigRequest) (fleet.PutConfigAnswer, error) {
		return l.putConfig(ctx, request)
	})
	handle(s, server, fleet.MethodValidateConfig, func(l *leader, _ context.Context, request fleet.ValidateConfigRequest) (fleet.Empty, error) {
		return l.validateConfig(request)
	})
	handle(s, server, fleet.MethodConfigVersions, func(l *leader, _ context.Context, _ fleet.Empty) (fleet.ConfigVersionsAnswer, error) {
		return l.configVersions()
	})
	handle(s, server, fleet.MethodRollout, func(l *leader, _ context.Context, _ fleet.Empty) (fleet.RolloutAnswer, error) {
		return l.rollout()
	})
}

func (s *Service) registerStatus(server *rpc.Server) {
	handle(s, server, fleet.MethodWorkers, func(l *leader, _ context.Context, _ fleet.Empty) (fleet.WorkersAnswer, error) {
		return l.listWorkers()
	})
	handle(s, server, fleet.MethodMembers, func(l *leader, _ context.Context, _ fleet.Empty) (fleet.MembersAnswer, error) {
		return l.listMembers(s.config.Now())
	})
	handle(s, server, fleet.MethodQueues, func(l *leader, _ context.Context, _ fleet.Empty) (fleet.QueuesAnswer, error) {
		return l.listQueues()
	})
}

// handle serves a call by the present leader, or names where to go.
func handle[Request, Answer any](
	s *Service, server *rpc.Server, method fleet.Method,
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
