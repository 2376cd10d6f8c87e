package scheduler

import (
	"context"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// putConfig proposes a configuration. The outcome, including a refusal, is decided when
// the command is applied and is stored under the order id: a resend of the order gets the
// same answer for as long as the outcome is kept.
func (l *leader) putConfig(ctx context.Context, request protocol.PutConfigRequest) (protocol.PutConfigAnswer, error) {
	command := &record.PutConfig{
		OrderID: request.OrderID, Base: request.Base, Config: request.Config, Digest: request.Config.Digest(),
	}
	if fields := l.configErrors(&request.Config); len(fields) > 0 {
		command.Refusal = invalidError("configuration", fields)
	}
	result, err := l.propose(ctx, record.Command{PutConfig: command})
	if err != nil {
		return protocol.PutConfigAnswer{}, l.proposalError(err)
	}
	if result.Config.Refusal != nil {
		return protocol.PutConfigAnswer{}, result.Config.Refusal
	}
	return protocol.PutConfigAnswer{Version: result.Config.Version}, nil
}

// configErrors returns what is wrong with a configuration: first its own fields and, if
// those are valid, the reservations that exceed the registered capacity.
func (l *leader) configErrors(config *api.Config) []api.FieldError {
	if fields := api.ValidateConfig(config); len(fields) > 0 {
		return fields
	}
	withDefaults := config.WithDefaults()
	return l.checkReservations(&withDefaults)
}

// validateConfig checks a configuration without applying it.
func (l *leader) validateConfig(_ context.Context, request protocol.ValidateConfigRequest) (protocol.Empty, error) {
	if fields := l.configErrors(&request.Config); len(fields) > 0 {
		return protocol.Empty{}, invalidError("configuration", fields)
	}
	return protocol.Empty{}, nil
}

// getConfig returns the configuration as submitted, without defaults, so that a caller
// can read it, change one field and put it back without changing others. If the request
// names an annotation, the answer holds only that one.
func (l *leader) getConfig(_ context.Context, request protocol.ConfigRequest) (protocol.ConfigAnswer, error) {
	var answer protocol.ConfigAnswer
	l.log.Record().Read(func(view record.View) {
		version, config := view.AcceptedConfig()
		answer.Status = api.ConfigStatus{Version: version, Config: *config}
		if name := request.Annotation; name != "" {
			answer.Status.Config = api.Config{Annotations: map[string]string{name: config.Annotations[name]}}
		}
	})
	if !l.log.HoldsLease(l.token) {
		return protocol.ConfigAnswer{}, l.notLeader()
	}
	return answer, nil
}

// configVersions lists the stored versions of the configuration.
func (l *leader) configVersions(context.Context, protocol.Empty) (protocol.ConfigVersionsAnswer, error) {
	var answer protocol.ConfigVersionsAnswer
	l.log.Record().Read(func(view record.View) {
		answer.Versions.Versions = view.ConfigVersions()
	})
	if !l.log.HoldsLease(l.token) {
		return protocol.ConfigVersionsAnswer{}, l.notLeader()
	}
	return answer, nil
}
