package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// maxConfigVersions bounds the history of accepted configurations; the oldest are
// dropped first.
const maxConfigVersions = 1000

// configState is the configuration in force, its history and its orders.
type configState struct {
	version uint64
	// accepted is as the operator gave it; effective has defaults filled in.
	accepted  *api.Config
	effective *api.Config
	// queues and teams are those of effective, by name.
	queues map[string]api.QueueConfig
	teams  map[string]api.TeamConfig
	// versions is the history, oldest first.
	versions []api.ConfigVersion
	orders   orderHistory
}

// configOrder is one decided PutConfig. It is stored in snapshots, and never
// changed, so that a capture may share it.
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
	// ring is in the order of decision until it is full; after that, next is the
	// index of the oldest, which the next order replaces.
	ring []*configOrder
	next int
}

// newConfigState returns version 0, an empty configuration.
func newConfigState(maxConfigOrders int) configState {
	c := configState{orders: orderHistory{limit: maxConfigOrders, byID: make(map[string]*configOrder)}}
	c.activate(0, &api.Config{})
	return c
}

// activate puts a configuration in force. The caller then calls
// countTable.recountTeams, unless there are no counts yet.
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

// addVersion appends to the history. What lies in versions is never changed, so
// that a capture may share it.
func (c *configState) addVersion(version api.ConfigVersion) {
	c.versions = append(c.versions, version)
	if surplus := len(c.versions) - maxConfigVersions; surplus > 0 {
		c.versions = slices.Clone(c.versions[surplus:])
	}
}

// add records a decided order whose id is not known yet.
func (h *orderHistory) add(added *configOrder) {
	h.byID[added.ID] = added
	if len(h.ring) < h.limit {
		h.ring = append(h.ring, added)
		return
	}
	delete(h.byID, h.ring[h.next].ID)
	h.ring[h.next] = added
	h.next = (h.next + 1) % len(h.ring)
}

// oldestFirst returns the orders in the order in which they were decided.
func (h *orderHistory) oldestFirst() []*configOrder {
	return slices.Concat(h.ring[h.next:], h.ring[:h.next])
}
