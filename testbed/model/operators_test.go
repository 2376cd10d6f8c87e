package model

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/operator"
)

// operators simulates the operators who change the configuration. mutex guards the fields
// below it.
type operators struct {
	fleet  *fleet
	client *api.Client

	mutex sync.Mutex
	// version is the newest acknowledged configuration version, config its content.
	version    uint64
	config     api.Config
	orderCount int
	// acknowledgedOrders are the acknowledged orders, which resendAll sends again.
	acknowledgedOrders []sentOrder
}

// sentOrder is a request to replace configuration version base by config. version is the
// resulting version once the order is acknowledged.
type sentOrder struct {
	id      string
	base    uint64
	config  api.Config
	version uint64
}

// firstConfig returns the configuration that is in force when a scenario begins.
func firstConfig() api.Config {
	return api.Config{Queues: []api.QueueConfig{{Name: queueName, DefaultAllowedFailures: 6}}}
}

// newOperators puts the first configuration in force. lostShare is the share of the answers
// to operators that are lost, from 0 to 1.
func (f *fleet) newOperators(lostShare float64) *operators {
	random := rand.New(rand.NewPCG(f.seed, 0x6f7073))
	var mutex sync.Mutex
	o := &operators{fleet: f, client: f.newClient(func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return random.Float64() < lostShare
	})}
	o.put(f.t.Context(), o.newOrder(firstConfig()))
	return o
}

// newOrder returns an order with a new ID that is based on the newest acknowledged version.
func (o *operators) newOrder(config api.Config) sentOrder {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.orderCount++
	return sentOrder{id: fmt.Sprintf("order-%d", o.orderCount), base: o.version, config: config}
}

// changedOrder returns an order for the newest configuration with an annotation that
// identifies the change. A non-nil change modifies the configuration further.
func (o *operators) changedOrder(change func(*api.Config)) sentOrder {
	o.mutex.Lock()
	config := o.config
	annotation := fmt.Sprint("change ", o.orderCount)
	o.mutex.Unlock()
	config.Annotations = map[string]string{"mark": annotation}
	if change != nil {
		change(&config)
	}
	return o.newOrder(config)
}

// put sends an order, retrying errors that leave the outcome open, until there is a final
// answer, and reports whether the order was accepted. The scenario fails if there is no
// final answer within stateTimeout.
func (o *operators) put(ctx context.Context, order sentOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	for ctx.Err() == nil {
		entry := calllog.Entry{Kind: calllog.KindConfigPut, Sent: o.fleet.now(), OrderID: order.id, Base: order.base, Config: &order.config}
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		version, err := o.client.PutConfig(limited, order.base, order.id, order.config)
		cancel()
		entry.Answered, entry.Version = o.fleet.now(), version
		entry.Code, entry.Error = operator.ErrorFields(err)
		o.fleet.calls.Add(entry)
		var refusal *api.Error
		if err == nil {
			o.acknowledged(order, version)
			return true
		}
		if errors.As(err, &refusal) && refusal.Status != http.StatusServiceUnavailable {
			return false
		}
		contexttime.Sleep(ctx, retryPause)
	}
	o.fleet.fail("%s got no final answer", order.id)
	return false
}

func (o *operators) acknowledged(order sentOrder, version uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	order.version = version
	o.acknowledgedOrders = append(o.acknowledgedOrders, order)
	if version > o.version {
		o.version, o.config = version, order.config
	}
}

// read reads the configuration in force once and records the answer in the call log.
func (o *operators) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindConfigRead, Sent: o.fleet.now()}
	status, err := o.client.Config(ctx)
	entry.Answered, entry.Version, entry.Config = o.fleet.now(), status.Version, &status.Config
	entry.Code, entry.Error = operator.ErrorFields(err)
	o.fleet.calls.Add(entry)
}

// change puts the given number of configurations one after the other, and reads the
// configuration in force after each of them.
func (o *operators) change(ctx context.Context, times int, pause time.Duration) {
	for range times {
		o.put(ctx, o.changedOrder(nil))
		contexttime.Sleep(ctx, pause)
		o.read(ctx)
	}
}

// race sends several orders on the same base version concurrently. It does so as often
// as times says; exactly one order must be accepted each time.
func (o *operators) race(ctx context.Context, times, racers int) {
	for range times {
		var orders []sentOrder
		for range racers {
			orders = append(orders, o.changedOrder(nil))
		}
		var racing sync.WaitGroup
		var mutex sync.Mutex
		accepted := 0
		for _, order := range orders {
			racing.Go(func() {
				if o.put(ctx, order) {
					mutex.Lock()
					defer mutex.Unlock()
					accepted++
				}
			})
		}
		racing.Wait()
		if accepted != 1 {
			o.fleet.t.Errorf("got %d of %d orders on version %d accepted, want 1", accepted, racers, orders[0].base)
		}
	}
}

// resendAll sends every acknowledged order again. Each must be acknowledged again; the
// checker compares the version with the first one.
func (o *operators) resendAll(ctx context.Context) {
	o.mutex.Lock()
	orders := append([]sentOrder(nil), o.acknowledgedOrders...)
	o.mutex.Unlock()
	for _, order := range orders {
		if !o.put(ctx, order) {
			o.fleet.t.Errorf("%s was accepted as version %d but rejected when sent again, want it accepted again", order.id, order.version)
		}
	}
}

// drainZone drains a zone through the configuration and ends the drain after length.
func (o *operators) drainZone(ctx context.Context, zone string, length time.Duration) {
	o.put(ctx, o.changedOrder(func(config *api.Config) { config.Drains.Zones = []string{zone} }))
	contexttime.Sleep(ctx, length)
	o.put(ctx, o.changedOrder(func(config *api.Config) { config.Drains.Zones = nil }))
}
