package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/netem"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	// orderTimeout bounds one attempt to send an order. After it the same order is sent
	// again.
	orderTimeout = 5 * time.Second
	// raceInterval is the time between two rounds of a race.
	raceInterval = 200 * time.Millisecond
	// lostAnswersTime is how long answers to the fronts are lost, lostAnswersInterval the
	// time between two such faults.
	lostAnswersTime     = 1500 * time.Millisecond
	lostAnswersInterval = 2500 * time.Millisecond
	// manyConfigs is the number of configurations that are put while a scheduler is stopped.
	manyConfigs = 300
	// tagBase is added to the tag of a configuration. The sum is the bound of pending tasks
	// of a queue, which no load reaches, and identifies the configuration.
	tagBase = 60_000
	// catchUpTimeout bounds the wait for a scheduler to replicate the committed log.
	catchUpTimeout = 20 * time.Second
)

// newRandom returns a random source that is determined by the seed and a name.
func newRandom(env Env, name string) *rand.Rand {
	var stream uint64
	for _, letter := range name {
		stream = stream*31 + uint64(letter)
	}
	return rand.New(rand.NewPCG(env.Seed, stream))
}

// withTag returns a copy of the configuration with the tag in the MaxPendingTasks of its
// first queue.
func withTag(config api.Config, tag int) api.Config {
	config.Queues = append([]api.QueueConfig(nil), config.Queues...)
	config.Queues[0].MaxPendingTasks = tagBase + tag
	return config
}

// putWithTag puts the configuration in force with the given tag.
func putWithTag(ctx context.Context, env Env, orderID string, tag int) error {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	if _, err := env.Operator.Put(ctx, present.Version, orderID, withTag(present.Config, tag)); err != nil {
		return fmt.Errorf("put order %s: %w", orderID, err)
	}
	return nil
}

// order is one put of a configuration. A resent order has the same id, base and content.
type order struct {
	id     string
	base   uint64 // version that the order is based on
	config api.Config
}

// sendUntilAnswered sends an order until an answer states its outcome, success or refusal,
// or the context ends.
func sendUntilAnswered(ctx context.Context, client *operator.Operator, o order) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := client.Put(limited, o.base, o.id, o.config)
		cancel()
		var refusal *api.Error
		if err == nil || (errors.As(err, &refusal) && refusal.Code != api.CodeUnavailable && refusal.Code != api.CodeOutcomeUnknown) {
			return
		}
	}
}

// raceOperators runs a configRace for three quarters of the load's duration, while answers
// to the fronts are lost at intervals.
func raceOperators(ctx context.Context, env Env) error {
	raceCtx, cancel := context.WithTimeout(ctx, env.Duration*3/4)
	defer cancel()
	var faults sync.WaitGroup
	defer faults.Wait()
	faults.Go(func() { loseAnswers(raceCtx, env) })
	configRace{env, newRandom(env, "race"), 0}.run(ctx, raceCtx)
	return ctx.Err()
}

// configRace is a race of two operators that put configurations on the same base versions.
type configRace struct {
	env    Env
	random *rand.Rand
	// firstTag is the tag of the first order; each new order of the race gets a higher one.
	firstTag int
}

// run sends two new orders and a random earlier one, if any, per round until raceCtx ends.
// Orders sent by then are resent until they are answered or ctx ends.
func (r configRace) run(ctx, raceCtx context.Context) {
	var sent []order
	for round := 0; sleep(raceCtx, raceInterval) == nil; round++ {
		present, err := r.env.Operator.Read(raceCtx)
		if err != nil {
			continue
		}
		var orders []order
		for sender := range 2 {
			tag := r.firstTag + 2*round + sender
			orders = append(orders, order{fmt.Sprintf("lab-race-%d", tag), present.Version, withTag(present.Config, tag)})
		}
		if len(sent) > 0 {
			orders = append(orders, sent[r.random.IntN(len(sent))])
		}
		var sending sync.WaitGroup
		for _, o := range orders {
			sending.Go(func() { sendUntilAnswered(ctx, r.env.Operator, o) })
		}
		sending.Wait()
		sent = append(sent, orders[:2]...)
	}
}

// loseAnswers partitions the links from schedulers to fronts at intervals until the context
// ends.
func loseAnswers(ctx context.Context, env Env) {
	var answers []netem.Link
	for _, scheduler := range env.Fleet.ByRole(deployment.RoleScheduler) {
		for _, front := range env.Fleet.ByRole(deployment.RoleFront) {
			answers = append(answers, netem.Link{From: scheduler.Spec.Name, To: front.Spec.Name})
		}
	}
	for sleep(ctx, lostAnswersInterval) == nil {
		heal := env.Fleet.Partition(answers...)
		_ = sleep(ctx, lostAnswersTime) // if the context ends first, the partition is healed all the same
		heal()
	}
}

// manyConfigurations puts 300 configurations while a scheduler is stopped. Once the
// scheduler has caught up, the leader is killed, so that the quorum depends on the
// scheduler, and the first of the orders is sent again.
func manyConfigurations(ctx context.Context, env Env) error {
	leading, err := leader(ctx, env)
	if err != nil {
		return err
	}
	stopped := peersOf(env, leading)[env.Seed%2]
	if err := stopped.Kill(); err != nil {
		return err
	}
	first, err := putMany(ctx, env)
	if err != nil {
		return err
	}
	if err := startAll(ctx, []*fleet.Process{stopped}); err != nil {
		return err
	}
	if err := waitCaughtUp(ctx, env, stopped); err != nil {
		return err
	}
	if err := leading.Kill(); err != nil {
		return err
	}
	sendUntilAnswered(ctx, env.Operator, first)
	if _, err := env.Operator.Read(ctx); err != nil {
		return fmt.Errorf("read after the restart: %w", err)
	}
	return startAll(ctx, []*fleet.Process{leading})
}

// putMany puts manyConfigs configurations, each based on the one before, and returns the
// first order.
func putMany(ctx context.Context, env Env) (order, error) {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return order{}, fmt.Errorf("read the configuration in force: %w", err)
	}
	first := order{"lab-many-0", present.Version, withTag(present.Config, 0)}
	base := present.Version
	for number := range manyConfigs {
		version, err := env.Operator.Put(ctx, base, fmt.Sprintf("lab-many-%d", number), withTag(present.Config, number))
		if err != nil {
			return order{}, fmt.Errorf("put configuration %d of %d: %w", number+1, manyConfigs, err)
		}
		base = version
	}
	return first, nil
}

// waitCaughtUp waits until a scheduler has replicated all log entries that were committed
// when the wait began.
func waitCaughtUp(ctx context.Context, env Env, scheduler *fleet.Process) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return env.Fleet.WaitCaughtUp(ctx, scheduler)
}
