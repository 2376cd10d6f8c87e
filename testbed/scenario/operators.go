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
	// orderTimeout bounds one attempt of an operator; afterwards the same order is sent
	// again.
	orderTimeout = 5 * time.Second
	// raceInterval is the time between two races.
	raceInterval = 200 * time.Millisecond
	// lostAnswersTime and lostAnswersInterval are how long answers to the fronts are
	// lost, and the time between two such faults.
	lostAnswersTime     = 1500 * time.Millisecond
	lostAnswersInterval = 2500 * time.Millisecond
	// manyConfigs is how many configurations a scheduler misses.
	manyConfigs = 300
	// tagBase is added to a number for a bound that no load reaches, by which
	// configurations are distinguished.
	tagBase = 60_000
	// catchUpTimeout bounds the wait for a scheduler to have all of the log.
	catchUpTimeout = 20 * time.Second
)

// newRandom returns a source that depends on the seed and a name.
func newRandom(env Env, name string) *rand.Rand {
	var stream uint64
	for _, letter := range name {
		stream = stream*31 + uint64(letter)
	}
	return rand.New(rand.NewPCG(env.Seed, stream))
}

// tagged returns the configuration with a content that no other has.
func tagged(config api.Config, tag int) api.Config {
	config.Queues = append([]api.QueueConfig(nil), config.Queues...)
	config.Queues[0].MaxPendingTasks = tagBase + tag
	return config
}

// putTagged puts the configuration in force with another tag.
func putTagged(ctx context.Context, env Env, orderID string, tag int) error {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	if _, err := env.Operator.Put(ctx, present.Version, orderID, tagged(present.Config, tag)); err != nil {
		return fmt.Errorf("put order %s: %w", orderID, err)
	}
	return nil
}

// changeConfig is one operator's order, as it was first sent.
type order struct {
	id     string
	base   uint64
	config api.Config
}

// sendUntilAnswered sends an order until an answer says its outcome, or the context
// ends.
func sendUntilAnswered(ctx context.Context, client *operator.Operator, one order) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := client.Put(limited, one.base, one.id, one.config)
		cancel()
		var refusal *api.Error
		if err == nil || (errors.As(err, &refusal) && refusal.Code != api.CodeUnavailable && refusal.Code != api.CodeOutcomeUnknown) {
			return
		}
	}
}

// raceOperators has two operators order on the same base again and again, and resend
// old orders, while answers to the fronts get lost.
func raceOperators(ctx context.Context, env Env) error {
	racing, cancel := context.WithTimeout(ctx, env.Duration*3/4)
	defer cancel()
	var losing sync.WaitGroup
	defer losing.Wait()
	losing.Go(func() { loseAnswers(racing, env) })
	configRace{env, newRandom(env, "race"), 0}.run(ctx, racing)
	return ctx.Err()
}

// configRace is two operators who order on the same bases.
type configRace struct {
	env    Env
	random *rand.Rand
	// firstTag is that of the first order; each order has one of its own.
	firstTag int
}

// run races until racing ends; orders sent by then are sent until they are
// answered.
func (r configRace) run(ctx, racing context.Context) {
	var sent []order
	for round := 0; sleep(racing, raceInterval) == nil; round++ {
		present, err := r.env.Operator.Read(racing)
		if err != nil {
			continue
		}
		var orders []order
		for racer := range 2 {
			tag := r.firstTag + 2*round + racer
			orders = append(orders, order{fmt.Sprintf("lab-race-%d", tag), present.Version, tagged(present.Config, tag)})
		}
		if len(sent) > 0 {
			orders = append(orders, sent[r.random.IntN(len(sent))])
		}
		var sending sync.WaitGroup
		for _, one := range orders {
			sending.Go(func() { sendUntilAnswered(ctx, r.env.Operator, one) })
		}
		sending.Wait()
		sent = append(sent, orders[:2]...)
	}
}

// loseAnswers partitions the links of answers to the fronts at intervals.
func loseAnswers(ctx context.Context, env Env) {
	var answers []netem.Link
	for _, scheduler := range env.Fleet.ByRole(deployment.RoleScheduler) {
		for _, front := range env.Fleet.ByRole(deployment.RoleFront) {
			answers = append(answers, netem.Link{From: scheduler.Spec.Name, To: front.Spec.Name})
		}
	}
	for sleep(ctx, lostAnswersInterval) == nil {
		heal := env.Fleet.Partition(answers...)
		_ = sleep(ctx, lostAnswersTime) // a cut that is over early is healed all the same
		heal()
	}
}

// manyConfigurations has a scheduler miss 300 configurations. Once it has caught up the
// leader is killed, so that the majority depends on it, and the first of the orders is
// sent again.
func manyConfigurations(ctx context.Context, env Env) error {
	leading, err := leader(ctx, env)
	if err != nil {
		return err
	}
	away := peersOf(env, leading)[env.Seed%2]
	if err := away.Kill(); err != nil {
		return err
	}
	first, err := putMany(ctx, env)
	if err != nil {
		return err
	}
	if err := startAll(ctx, []*fleet.Process{away}); err != nil {
		return err
	}
	if err := waitCaughtUp(ctx, env, away); err != nil {
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

// putMany puts configurations one after the other; it returns the first order.
func putMany(ctx context.Context, env Env) (order, error) {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return order{}, fmt.Errorf("read the configuration in force: %w", err)
	}
	first := order{"lab-many-0", present.Version, tagged(present.Config, 0)}
	base := present.Version
	for number := range manyConfigs {
		version, err := env.Operator.Put(ctx, base, fmt.Sprintf("lab-many-%d", number), tagged(present.Config, number))
		if err != nil {
			return order{}, fmt.Errorf("put configuration %d of %d: %w", number+1, manyConfigs, err)
		}
		base = version
	}
	return first, nil
}

// waitCaughtUp waits until a scheduler has what was committed when the wait
// began.
func waitCaughtUp(ctx context.Context, env Env, scheduler *fleet.Process) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return env.Fleet.WaitCaughtUp(ctx, scheduler)
}
