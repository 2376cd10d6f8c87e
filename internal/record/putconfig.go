package record

import (
	"fmt"
	"net/http"

	"github.com/decklever/decklever/api"
)

// applyPutConfig decides an order once and records the outcome. A resent order gets
// the recorded answer while it is among the newest Config.MaxConfigOrders orders.
func (m *Machine) applyPutConfig(put *PutConfig, result *Result) {
	config := &m.state.config
	if recorded := config.orders.byID[put.OrderID]; recorded != nil {
		result.Config = resendResult(recorded, put, config.version)
		return
	}
	decided := m.decideConfig(put)
	config.orders.add(&configOrder{ID: put.OrderID, Digest: put.Digest, Result: decided})
	result.Config = &decided
	if decided.Refusal == nil {
		m.emit(ConfigChanged{Version: config.version, Config: config.effective})
	}
}

// decideConfig refuses an order that failed validation or whose base version is not
// in force. Otherwise it puts the order's configuration in force.
func (m *Machine) decideConfig(put *PutConfig) ConfigResult {
	config := &m.state.config
	if put.Refusal != nil {
		return ConfigResult{Version: config.version, Refusal: put.Refusal}
	}
	if put.Base != config.version {
		return ConfigResult{Version: config.version, Refusal: versionConflict(put.Base, config.version)}
	}
	config.activate(config.version+1, &put.Config)
	m.state.counts.recountTeams(config)
	config.addVersion(api.ConfigVersion{
		Version:    config.version,
		OrderID:    put.OrderID,
		AcceptedAt: m.state.clock.Time(),
		Digest:     put.Digest,
	})
	return ConfigResult{Version: config.version}
}

// resendResult answers an order whose id is already recorded: with the recorded
// outcome, or with a conflict if the configuration differs.
func resendResult(recorded *configOrder, put *PutConfig, activeVersion uint64) *ConfigResult {
	if recorded.Digest == put.Digest {
		result := recorded.Result
		return &result
	}
	return &ConfigResult{Version: activeVersion, Refusal: &api.Error{
		Status:  http.StatusConflict,
		Code:    api.CodeConflict,
		Message: fmt.Sprintf("order %q was given with another configuration", put.OrderID),
	}}
}

// versionConflict returns the refusal of an order based on a version that is not in
// force. Of several valid orders with the same base, at most the first one applied
// is accepted.
func versionConflict(base, activeVersion uint64) *api.Error {
	return &api.Error{
		Status:  http.StatusPreconditionFailed,
		Code:    api.CodeLostRace,
		Message: fmt.Sprintf("version %d is in force, not %d", activeVersion, base),
	}
}
