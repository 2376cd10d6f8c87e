package record

import (
	"fmt"
	"net/http"

	"github.com/decklever/decklever/api"
)

// applyPutConfig decides an order once and keeps the outcome, so that a resend
// gets the same answer as long as the order is among the newest ones kept.
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

// decideConfig refuses an order that failed validation or whose base version is
// not in force, and else puts its configuration in force.
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
