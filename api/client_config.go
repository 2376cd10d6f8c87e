package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// ValidateAnswer is the answer of POST /v1/config/validate to a valid
// configuration.
type ValidateAnswer struct {
	Valid bool `json:"valid"`
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigStatus, error) {
	var answer ConfigStatus
	err := c.get(ctx, "/v1/config", &answer)
	return answer, err
}

// PutConfig proposes a configuration to replace version base, and returns the
// new version. orderID identifies the proposal: a retry with the same id gets
// the same answer. Of several proposals with the same base one is accepted; the
// others fail with CodeLostRace.
func (c *Client) PutConfig(ctx context.Context, base uint64, orderID string, config Config) (version uint64, err error) {
	body, err := json.Marshal(config)
	if err != nil {
		return 0, malformed(fmt.Sprintf("the configuration has no JSON form: %v", err))
	}
	header := http.Header{}
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(base, 10)))
	header.Set("Idempotency-Key", orderID)
	var answer ConfigStatus
	err = c.do(ctx, clientRequest{method: http.MethodPut, path: "/v1/config", header: header, body: body, mutates: true}, &answer)
	return answer.Version, err
}

// ValidateConfig has the cluster validate a configuration without proposing it.
// It returns nil if the configuration is valid.
func (c *Client) ValidateConfig(ctx context.Context, config Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return malformed(fmt.Sprintf("the configuration has no JSON form: %v", err))
	}
	var answer ValidateAnswer
	err = c.do(ctx, clientRequest{method: http.MethodPost, path: "/v1/config/validate", body: body}, &answer)
	return err
}

// ConfigVersions returns the accepted versions, newest first.
func (c *Client) ConfigVersions(ctx context.Context) (ConfigVersions, error) {
	var answer ConfigVersions
	err := c.get(ctx, "/v1/config/versions", &answer)
	return answer, err
}

// Rollout returns the version of the configuration in force at each process.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	var answer Rollout
	err := c.get(ctx, "/v1/config/rollout", &answer)
	return answer, err
}
