package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// maxConfigVersions bounds the history of accepted configurations.
const maxConfigVersions = 1000

// configState is the configuration in force, its history and its orders.
type configState struct {
	version uint64
	// accepted is as the operator gave it; effective has defaults filled in.
	accepted  *api.Config
	effective *api.Config
	// queueCounts and teams are by name.
	queues map[string]api.QueueConfig
	teams  map[string]api.TeamConfig
	// versions is the history, oldest first.
	versions []api.ConfigVersion
	orders   orderHistory
}

// configOrder is one decided PutConfig; it is never changed.
type configOrder struct {
	ID     string       `cbor:"1,keyasint"`
	Digest string       `cbor:"2,keyasint"`
	Result ConfigResult `cbor:"3,keyasint"`
}

// orderHistory keeps the newest orders, first in, first out.
type orderHistory struct {
	limit int
	byID  map[string]*configOrder
	// ring is a ring once it is full; next is then the oldest.
	ring []*configOrder
	next int
}

func newConfigState(maxConfigOrders int) configState {
	c := configState{orders: orderHistory{limit: maxConfigOrders, byID: make(map[string]*configOrder)}}
	c.activate(0, &api.Config{})
	return c
}

// activate puts a configuration in force.
func (c *configState) activate(version uint64, config *api.Config) {
	effective := config.WithDefaults()
	c.version = version
	c.accepted = config
	c.effective = &effective
	c.queues = make(map[string]api.QueueConfig, len(effective.Queues))
	for _, queue := range effective.Queues {
		c.queues[queue.Name] = queue
	}
	c.teams = make(map[string]api.TeamConfig, len(effective.Teams))
	for _, team := range effective.Teams {
		c.teams[team.Name] = team
	}
}

func (c *configState) addVersion(version api.ConfigVersion) {
	c.versions = append(c.versions, version)
	if surplus := len(c.versions) - maxConfigVersions; surplus > 0 {
		c.versions = slices.Clone(c.versions[surplus:])
	}
}

func (b *orderHistory) add(added *configOrder) {
	b.byID[added.ID] = added
	if len(b.ring) < b.limit {
		b.ring = append(b.ring, added)
		return
	}
	delete(b.byID, b.ring[b.next].ID)
	b.ring[b.next] = added
	b.next = (b.next + 1) % len(b.ring)
}

// oldestFirst returns the orders in the order in which they were decided.
func (b *orderHistory) oldestFirst() []*configOrder {
	return slices.Concat(b.ring[b.next:], b.ring[:b.next])
}
