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

// Config reads the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigStatus, error) {
	var answer ConfigStatus
	err := c.get(ctx, "/v1/config", &answer)
	return answer, err
}

// PutConfig proposes a configuration to replace version base. The order id
// identifies this proposal: repeated with the same id it gets the same
// answer. Of several proposals on the same base one is accepted; the others
// get CodeLostRace.
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

// ValidateConfig has the fleet validate a configuration without proposing it;
// nil means that it is valid.
func (c *Client) ValidateConfig(ctx context.Context, config Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return malformed(fmt.Sprintf("the configuration has no JSON form: %v", err))
	}
	var answer ValidateAnswer
	err = c.do(ctx, clientRequest{method: http.MethodPost, path: "/v1/config/validate", body: body}, &answer)
	return err
}

// ConfigVersions reads the accepted versions, newest first.
func (c *Client) ConfigVersions(ctx context.Context) (ConfigVersions, error) {
	var answer ConfigVersions
	err := c.get(ctx, "/v1/config/versions", &answer)
	return answer, err
}

// Rollout reads which process has which version of the configuration in
// force.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	var answer Rollout
	err := c.get(ctx, "/v1/config/rollout", &answer)
	return answer, err
}
