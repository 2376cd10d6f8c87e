package scheduler

import (
	"context"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// putConfig proposes a configuration. The outcome is decided when the command
// is applied and kept under its order id, a refusal as well: the same order
// gets the same answer for as long as it is kept.
func (l *leader) putConfig(ctx context.Context, request protocol.PutConfigRequest) (protocol.PutConfigAnswer, error) {
	command := &record.PutConfig{
		OrderID: request.OrderID, Base: request.Base, Config: request.Config, Digest: request.Config.Digest(),
	}
	if fields := l.wrongInConfig(&request.Config); len(fields) > 0 {
		command.Refusal = invalid("configuration", fields)
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

// wrongInConfig checks a configuration for itself, and if that is right against
// the registered capacity.
func (l *leader) wrongInConfig(config *api.Config) []api.FieldError {
	if fields := api.ValidateConfig(config); len(fields) > 0 {
		return fields
	}
	full := config.WithDefaults()
	return l.checkReservations(&full)
}

// validateConfig checks a configuration without taking it.
func (l *leader) validateConfig(_ context.Context, request protocol.ValidateConfigRequest) (protocol.Empty, error) {
	if fields := l.wrongInConfig(&request.Config); len(fields) > 0 {
		return protocol.Empty{}, invalid("configuration", fields)
	}
	return protocol.Empty{}, nil
}

// getConfig answers with the configuration as it was given, so that reading it,
// changing one thing and putting it back changes that one thing. A caller that
// needs one annotation gets no more than that.
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
