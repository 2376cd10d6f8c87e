package record

import (
	"fmt"
	"net/http"
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

// applyPutConfig decides an order once; a resend gets the same answer.
func (m *Machine) applyPutConfig(put *PutConfig, result *Result) {
	settings := &m.state.settings
	if known := settings.orders.byID[put.OrderID]; known != nil {
		result.Config = resendResult(known, put, settings.version)
		return
	}
	decided := m.decideConfig(put)
	settings.orders.add(&configOrder{ID: put.OrderID, Digest: put.Digest, Result: decided})
	result.Config = &decided
	if decided.Refusal == nil {
		m.emit(ConfigChanged{Version: settings.version, Config: settings.effective})
	}
}

func resendResult(known *configOrder, put *PutConfig, inForce uint64) *ConfigResult {
	if known.Digest == put.Digest {
		result := known.Result
		return &result
	}
	return &ConfigResult{Version: inForce, Refusal: &api.Error{
		Status:  http.StatusConflict,
		Code:    api.CodeConflict,
		Message: fmt.Sprintf("order %q was given with another configuration", put.OrderID),
	}}
}

func (m *Machine) decideConfig(put *PutConfig) ConfigResult {
	settings := &m.state.settings
	if put.Refusal != nil {
		return ConfigResult{Version: settings.version, Refusal: put.Refusal}
	}
	if put.Base != settings.version {
		return ConfigResult{Version: settings.version, Refusal: versionConflict(put.Base, settings.version)}
	}
	settings.activate(settings.version+1, &put.Config)
	m.state.recountTeams()
	settings.addVersion(api.ConfigVersion{
		Version:    settings.version,
		OrderID:    put.OrderID,
		AcceptedAt: m.state.clock.Time(),
		Digest:     put.Digest,
	})
	return ConfigResult{Version: settings.version}
}

func versionConflict(base, inForce uint64) *api.Error {
	return &api.Error{
		Status:  http.StatusPreconditionFailed,
		Code:    api.CodeLostRace,
		Message: fmt.Sprintf("version %d is in force, not %d", inForce, base),
	}
}
