package record

import (
	"fmt"
	"net/http"

	"github.com/decklever/decklever/api"
)

// applyPutConfig decides an order once and records the outcome, so that a resend
// gets the same answer as long as the order is among the newest
// Config.MaxConfigOrders.
func (m *Machine) applyPutConfig(put *PutConfig, result *Result) {
	config := &m.state.config
	if known := config.orders.byID[put.OrderID]; known != nil {
		result.Config = resendResult(known, put, config.version)
		return
	}
	decided := m.decideConfig(put)
	config.orders.add(&configOrder{ID: put.OrderID, Digest: put.Digest, Result: decided})
	result.Config = &decided
	if decided.Refusal == nil {
		m.emit(ConfigChanged{Version: config.version, Config: config.effective})
	}
}

// decideConfig refuses an order that failed validation or whose base version is
// not in force, and else puts its configuration in force.
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

// resendResult answers an order whose id is known: with the recorded outcome, or
// with a conflict if the content is another.
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

// versionConflict refuses an order that was made on another version than the one
// in force. Exactly one of several orders on one version is accepted.
func versionConflict(base, inForce uint64) *api.Error {
	return &api.Error{
		Status:  http.StatusPreconditionFailed,
		Code:    api.CodeLostRace,
		Message: fmt.Sprintf("version %d is in force, not %d", inForce, base),
	}
}
