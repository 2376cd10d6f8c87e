// Package operator writes and reads configurations as an operator does, and records
// each call and its answer in the call log.
package operator

import (
	"context"
	"errors"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Operator makes the calls of an operator and records each in the call log.
type Operator struct {
	client  *api.Client
	callLog *calllog.Log
}

// New returns an operator that makes its calls with client.
func New(client *api.Client, callLog *calllog.Log) *Operator {
	return &Operator{client: client, callLog: callLog}
}

// Put proposes a configuration that replaces version base. It returns the new version.
func (o *Operator) Put(ctx context.Context, base uint64, orderID string, config api.Config) (uint64, error) {
	entry := calllog.Entry{Kind: calllog.KindConfigPut, Sent: monoclock.Now(), OrderID: orderID, Base: base, Config: &config}
	version, err := o.client.PutConfig(ctx, base, orderID, config)
	entry.Answered, entry.Version = monoclock.Now(), version
	entry.Code, entry.Error = ErrorFields(err)
	o.callLog.Add(entry)
	return version, err
}

// Read returns the configuration in force.
func (o *Operator) Read(ctx context.Context) (api.ConfigStatus, error) {
	entry := calllog.Entry{Kind: calllog.KindConfigRead, Sent: monoclock.Now()}
	status, err := o.client.Config(ctx)
	entry.Answered, entry.Version, entry.Config = monoclock.Now(), status.Version, &status.Config
	entry.Code, entry.Error = ErrorFields(err)
	o.callLog.Add(entry)
	return status, err
}

// Rollout returns which configuration version each process has in force.
func (o *Operator) Rollout(ctx context.Context) (api.Rollout, error) {
	entry := calllog.Entry{Kind: calllog.KindRollout, Sent: monoclock.Now()}
	rollout, err := o.client.Rollout(ctx)
	entry.Answered, entry.Version, entry.Rollout = monoclock.Now(), rollout.Version, &rollout
	entry.Code, entry.Error = ErrorFields(err)
	o.callLog.Add(entry)
	return rollout, err
}

// ErrorFields returns the Code and Error of a call log entry for err. Both are empty if err
// is nil; the code is empty unless err is an api.Error.
func ErrorFields(err error) (api.ErrorCode, string) {
	if err == nil {
		return "", ""
	}
	var apiError *api.Error
	if errors.As(err, &apiError) {
		return apiError.Code, apiError.Error()
	}
	return "", err.Error()
}
