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

// operators is the operators, who change the configuration.
type operators struct {
	fleet  *fleet
	client *api.Client

	mutex sync.Mutex
	// version is the newest acknowledged one and config what it says.
	version uint64
	config  api.Config
	serial  int
	// kept are acknowledged orders, to be sent again later.
	kept []sentOrder
}

type sentOrder struct {
	id      string
	base    uint64
	config  api.Config
	version uint64
}

// firstConfig is in force when a scenario begins.
func firstConfig() api.Config {
	return api.Config{Queues: []api.QueueConfig{{Name: queueName, DefaultAllowedFailures: 6}}}
}

// newOperators puts the first configuration in force. Of the answers to operators
// a share is lost.
func (f *fleet) newOperators(lost float64) *operators {
	random := rand.New(rand.NewPCG(f.seed, 0x6f7073))
	var mutex sync.Mutex
	o := &operators{fleet: f, client: f.newClient(func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return random.Float64() < lost
	})}
	o.put(f.t.Context(), o.next(firstConfig()))
	return o
}

// next makes an order on the newest version.
func (o *operators) next(config api.Config) sentOrder {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.serial++
	return sentOrder{id: fmt.Sprintf("order-%d", o.serial), base: o.version, config: config}
}

// changedOrder is the newest configuration with a value that no other has, by which it
// can be identified.
func (o *operators) changedOrder(change func(*api.Config)) sentOrder {
	o.mutex.Lock()
	config := o.config
	mark := fmt.Sprint("change ", o.serial)
	o.mutex.Unlock()
	config.Annotations = map[string]string{"mark": mark}
	if change != nil {
		change(&config)
	}
	return o.next(config)
}

// put sends an order until there is a final answer, and reports whether it was
// accepted.
func (o *operators) put(ctx context.Context, order sentOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for ctx.Err() == nil {
		entry := calllog.Entry{Kind: calllog.KindConfigPut, Sent: o.fleet.now(), OrderID: order.id, Base: order.base, Config: &order.config}
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		version, err := o.client.PutConfig(limited, order.base, order.id, order.config)
		cancel()
		entry.Answered, entry.Version = o.fleet.now(), version
		entry.Code, entry.Error = operator.Refusal(err)
		o.fleet.calls.Add(entry)
		var refusal *api.Error
		if err == nil {
			o.acknowledged(order, version)
			return true
		}
		if errors.As(err, &refusal) && refusal.Status != http.StatusServiceUnavailable {
			return false
		}
		contexttime.Sleep(ctx, pollPause)
	}
	o.fleet.fail("%s had no plain answer", order.id)
	return false
}

func (o *operators) acknowledged(order sentOrder, version uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	order.version = version
	o.kept = append(o.kept, order)
	if version > o.version {
		o.version, o.config = version, order.config
	}
}

// read reads the configuration in force.
func (o *operators) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry := calllog.Entry{Kind: calllog.KindConfigRead, Sent: o.fleet.now()}
	status, err := o.client.Config(ctx)
	entry.Answered, entry.Version, entry.Config = o.fleet.now(), status.Version, &status.Config
	entry.Code, entry.Error = operator.Refusal(err)
	o.fleet.calls.Add(entry)
}

// change makes changes one after another.
func (o *operators) change(ctx context.Context, times int, pause time.Duration) {
	for range times {
		o.put(ctx, o.changedOrder(nil))
		contexttime.Sleep(ctx, pause)
		o.read(ctx)
	}
}

// race has operators change one base at once; exactly one may win.
func (o *operators) race(ctx context.Context, times, racers int) {
	for range times {
		var orders []sentOrder
		for range racers {
			orders = append(orders, o.changedOrder(nil))
		}
		var racing sync.WaitGroup
		var mutex sync.Mutex
		taken := 0
		for _, order := range orders {
			racing.Go(func() {
				if o.put(ctx, order) {
					mutex.Lock()
					defer mutex.Unlock()
					taken++
				}
			})
		}
		racing.Wait()
		if taken != 1 {
			o.fleet.t.Errorf("%d of %d orders on version %d were taken, want 1", taken, racers, orders[0].base)
		}
	}
}

// resendAll sends every accepted order once more: each is acknowledged again, with its
// version.
func (o *operators) resendAll(ctx context.Context) {
	o.mutex.Lock()
	kept := append([]sentOrder(nil), o.kept...)
	o.mutex.Unlock()
	for _, order := range kept {
		if !o.put(ctx, order) {
			o.fleet.t.Errorf("%s, taken as version %d, was refused when it came again", order.id, order.version)
		}
	}
}

// drainZone drains a zone by the configuration, and ends that after a time.
func (o *operators) drainZone(ctx context.Context, zone string, length time.Duration) {
	o.put(ctx, o.changedOrder(func(config *api.Config) { config.Drains.Zones = []string{zone} }))
	contexttime.Sleep(ctx, length)
	o.put(ctx, o.changedOrder(func(config *api.Config) { config.Drains.Zones = nil }))
}
