package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// maxConfigVersions is the number of accepted configurations kept in the history;
// the oldest are dropped first.
const maxConfigVersions = 1000

// configState holds the configuration in force, its history and the decided PutConfig
// orders.
type configState struct {
	version uint64
	// accepted is the configuration as submitted; effective has defaults filled in.
	accepted  *api.Config
	effective *api.Config
	// queues and teams index the entries of effective by name.
	queues map[string]api.QueueConfig
	teams  map[string]api.TeamConfig
	// versions is the history, oldest first.
	versions []api.ConfigVersion
	orders   orderHistory
}

// configOrder is a decided PutConfig. It is stored in snapshots and immutable, so
// that a capture may share it.
type configOrder struct {
	ID     string       `cbor:"1,keyasint"`
	Digest string       `cbor:"2,keyasint"`
	Result ConfigResult `cbor:"3,keyasint"`
}

// orderHistory keeps the newest decided orders, at most limit of them; the oldest
// is dropped first.
type orderHistory struct {
	limit int
	byID  map[string]*configOrder
	// ring is in the order of decision until it holds limit orders. From then on,
	// next is the index of the oldest order, which the next order replaces.
	ring []*configOrder
	next int
}

// newConfigState returns the state before the first PutConfig: version 0, with an empty
// configuration.
func newConfigState(maxConfigOrders int) configState {
	c := configState{orders: orderHistory{limit: maxConfigOrders, byID: make(map[string]*configOrder)}}
	c.activate(0, &api.Config{})
	return c
}

// activate puts config in force. The caller must then call countTable.recountTeams,
// unless there are no counts yet.
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

// addVersion appends to the history and drops the oldest versions beyond
// maxConfigVersions. Stored elements are never modified, so that a capture may
// share the slice.
func (c *configState) addVersion(version api.ConfigVersion) {
	c.versions = append(c.versions, version)
	if excess := len(c.versions) - maxConfigVersions; excess > 0 {
		c.versions = slices.Clone(c.versions[excess:])
	}
}

// add records a decided order. Its id must not be in the history.
func (h *orderHistory) add(order *configOrder) {
	h.byID[order.ID] = order
	if len(h.ring) < h.limit {
		h.ring = append(h.ring, order)
		return
	}
	delete(h.byID, h.ring[h.next].ID)
	h.ring[h.next] = order
	h.next = (h.next + 1) % len(h.ring)
}

// oldestFirst returns the orders in the order of decision.
func (h *orderHistory) oldestFirst() []*configOrder {
	return slices.Concat(h.ring[h.next:], h.ring[:h.next])
}
