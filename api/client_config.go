package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// ValidateAnswer is the answer of POST /v1/config/validate to a configuration
// that could be taken.
type ValidateAnswer struct {
	Valid bool `json:"valid"`
}

// Config reads the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigStatus, error) {
	var answer ConfigStatus
	err := c.get(ctx, "/v1/config", &answer)
	return answer, err
}

// PutConfig proposes a configuration in place of version base. The order id
// names this attempt: sent again, it gets the same answer again. Of those
// that race on a base one wins; the others get CodeLostRace.
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

// ValidateConfig checks a configuration without proposing it; nil means that
// it could be taken.
func (c *Client) ValidateConfig(ctx context.Context, config Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return malformed(fmt.Sprintf("the configuration has no JSON form: %v", err))
	}
	var answer ValidateAnswer
	err = c.do(ctx, clientRequest{method: http.MethodPost, path: "/v1/config/validate", body: body}, &answer)
	return err
}

// ConfigVersions reads the history of configurations, newest first.
func (c *Client) ConfigVersions(ctx context.Context) (ConfigVersions, error) {
	var answer ConfigVersions
	err := c.get(ctx, "/v1/config/versions", &answer)
	return answer, err
}

// Rollout reads which process has which version in force.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	var answer Rollout
	err := c.get(ctx, "/v1/config/rollout", &answer)
	return answer, err
}
