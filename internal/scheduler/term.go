package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
)

// environment is what every component of a leader may use. It stays the same for
// the whole term and leads to no component's state, so that it needs no lock.
type environment struct {
	logger  *slog.Logger
	metrics *metrics
	// now reads this process's monotonic clock, clusterNow the cluster's.
	now        func() time.Duration
	clusterNow func() record.Millis
	// off are the mechanisms that are switched off.
	off featuregate.DisabledSet
}

// term is what one leadership works with. It stays the same until the term ends.
type term struct {
	*environment
	token   uint64
	context context.Context
	log     replica.Log
	archive record.Archive
	// archiveBytes bounds the archive, in bytes.
	archiveBytes int64
	// planner is guarded by leader.mu.
	planner Planner
	// startedAt is when the term began, on the monotonic clock.
	startedAt time.Duration
	// wakePlanner has a buffer of one signal: a pass of the planner may find something.
	wakePlanner chan struct{}
}

func newTerm(config leaderConfig) term {
	return term{
		environment: &environment{
			logger:     config.Logger.With(slog.Uint64("token", config.Leadership.Token)),
			metrics:    config.Metrics,
			now:        config.Now,
			clusterNow: config.Log.Now,
			off:        config.Off,
		},
		token:        config.Leadership.Token,
		context:      config.Leadership.Context,
		log:          config.Log,
		archive:      config.Archive,
		archiveBytes: config.ArchiveBytes,
		planner:      config.Planner,
		startedAt:    config.Now(),
		wakePlanner:  make(chan struct{}, 1),
	}
}

// wake makes the planner run again soon.
func (t *term) wake() { signal(t.wakePlanner) }

// propose commits a command under this term's token.
func (t *term) propose(ctx context.Context, command record.Command) (record.Result, error) {
	t.metrics.proposals.Inc()
	return t.log.Propose(ctx, t.token, command)
}

// proposeOwn commits a command of the leader's own, whoever asked for it.
func (t *term) proposeOwn(command record.Command) (record.Result, error) {
	ctx, cancel := context.WithTimeout(t.context, proposalTimeout)
	defer cancel()
	return t.propose(ctx, command)
}

// proposeUntilDone commits a command of the leader's own, again and again
// until it is committed or the term ends. Every such command may be committed
// twice without harm: the record decides on each run by its number. It returns
// false if the term ended.
func (t *term) proposeUntilDone(command string, proposal record.Command) (record.Result, bool) {
	for t.context.Err() == nil {
		result, err := t.proposeOwn(proposal)
		if err == nil {
			return result, true
		}
		t.logger.Warn("proposal failed", slog.String("command", command), slog.Any("error", err))
		select {
		case <-t.context.Done():
		case <-time.After(tickInterval):
		}
	}
	return record.Result{}, false
}

// every does some work again and again, part after part, until the term ends.
func (t *term) every(interval time.Duration, work ...func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.context.Done():
			return
		case <-ticker.C:
			for _, part := range work {
				part()
			}
		}
	}
}

// signal wakes a loop whose channel has a buffer of one signal.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
