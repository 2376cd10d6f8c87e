package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
)

// environment has the dependencies that every component of a leader may use. It is
// immutable during the term and gives no access to a component's state, so it needs no
// lock.
type environment struct {
	logger  *slog.Logger
	metrics *metrics
	// now reads this process's monotonic clock, clusterNow the cluster time.
	now        func() time.Duration
	clusterNow func() record.Millis
	// disabledFeatures has the features that are disabled.
	disabledFeatures featuregate.DisabledSet
}

// term has the dependencies of a leader for one term. It is immutable until the term
// ends.
type term struct {
	*environment
	token   uint64
	context context.Context
	log     replica.Log
	archive record.Archive
	// archiveBytes is the maximum size of the archive, in bytes.
	archiveBytes int64
	// planner is guarded by leader.mu.
	planner Planner
	// startedAt is the start of the term on the monotonic clock.
	startedAt time.Duration
	// wakePlanner signals that a pass of the planner may place tasks; it has a buffer of
	// one signal.
	wakePlanner chan struct{}
}

func newTerm(config leaderConfig) term {
	return term{
		environment: &environment{
			logger:           config.Logger.With(slog.Uint64("token", config.Leadership.Token)),
			metrics:          config.Metrics,
			now:              config.Now,
			clusterNow:       config.Log.Now,
			disabledFeatures: config.DisabledFeatures,
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

// wake requests another pass of the planner.
func (t *term) wake() { signal(t.wakePlanner) }

// propose commits a command under this term's token.
func (t *term) propose(ctx context.Context, command record.Command) (record.Result, error) {
	t.metrics.proposals.Inc()
	return t.log.Propose(ctx, t.token, command)
}

// proposeOwn commits a command within proposalTimeout under the term's context instead
// of a caller's: a caller that goes away does not cancel it.
func (t *term) proposeOwn(command record.Command) (record.Result, error) {
	ctx, cancel := context.WithTimeout(t.context, proposalTimeout)
	defer cancel()
	return t.propose(ctx, command)
}

// proposeUntilCommitted retries a command of the leader's own every tickInterval until it
// is committed or the term ends. Committing such a command twice is harmless, since
// the record identifies each run by its number. It returns false if the term ended.
func (t *term) proposeUntilCommitted(command string, proposal record.Command) (record.Result, bool) {
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

// runPeriodically calls the steps in order once per interval, until the term ends.
func (t *term) runPeriodically(interval time.Duration, steps ...func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.context.Done():
			return
		case <-ticker.C:
			for _, step := range steps {
				step()
			}
		}
	}
}

// signal wakes the loop that receives from wake, which has a buffer of one signal. It
// never blocks.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
