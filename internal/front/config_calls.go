package front

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

// maxConfigBytes limits the body of a configuration.
const maxConfigBytes = 4 << 20

// Required headers of PUT /v1/config.
const (
	baseVersionHeader = "If-Match"
	orderIDHeader     = "Idempotency-Key"
)

// orderIDPattern matches a valid order id: printable ASCII characters without spaces.
var orderIDPattern = regexp.MustCompile(`^[!-~]{1,128}$`)

// getConfig serves GET /v1/config.
func (f *Front) getConfig(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	status, refusal := f.Config(request.Context())
	if refusal != nil {
		return 0, nil, refusal
	}
	setETag(writer, status.Version)
	return http.StatusOK, status, nil
}

// Config returns the configuration in force, as it was submitted.
func (f *Front) Config(ctx context.Context) (api.ConfigStatus, *api.Error) {
	answer, refusal := relayRead[protocol.ConfigAnswer](ctx, f, protocol.MethodGetConfig, protocol.Empty{})
	answer.Status.Config.Queues = nonNilSlice(answer.Status.Config.Queues)
	return answer.Status, refusal
}

// ConfigAnnotation returns one annotation of the configuration in force, and its version.
// The leader leaves out the rest of the configuration, which may be large.
func (f *Front) ConfigAnnotation(ctx context.Context, name string) (version uint64, value string, refusal *api.Error) {
	answer, refusal := relayRead[protocol.ConfigAnswer](ctx, f, protocol.MethodGetConfig, protocol.ConfigRequest{Annotation: name})
	return answer.Status.Version, answer.Status.Config.Annotations[name], refusal
}

// putConfig serves PUT /v1/config.
func (f *Front) putConfig(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	base, orderID, refusal := parsePutHeaders(request.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	config, refusal := readConfig(writer, request)
	if refusal != nil {
		return 0, nil, refusal
	}
	status, refusal := f.PutConfig(request.Context(), orderID, base, config)
	if refusal != nil {
		return 0, nil, refusal
	}
	setETag(writer, status.Version)
	return http.StatusOK, status, nil
}

// PutConfig proposes a configuration that replaces the version base. orderID is the
// idempotency key.
func (f *Front) PutConfig(ctx context.Context, orderID string, base uint64, config api.Config) (api.ConfigStatus, *api.Error) {
	request := protocol.PutConfigRequest{OrderID: orderID, Base: base, Config: config}
	answer, refusal := relayMutation[protocol.PutConfigAnswer](ctx, f, protocol.MethodPutConfig, request)
	return api.ConfigStatus{Version: answer.Version, Config: config}, refusal
}

// validateConfig serves POST /v1/config/validate.
func (f *Front) validateConfig(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	config, refusal := readConfig(writer, request)
	if refusal != nil {
		return 0, nil, refusal
	}
	answer, refusal := f.ValidateConfig(request.Context(), config)
	return http.StatusOK, answer, refusal
}

// ValidateConfig checks a configuration without putting it in force.
func (f *Front) ValidateConfig(ctx context.Context, config api.Config) (api.ValidateAnswer, *api.Error) {
	if fields := api.ValidateConfig(&config); len(fields) > 0 {
		return api.ValidateAnswer{}, httpjson.Invalid("configuration", fields)
	}
	_, refusal := relayRead[protocol.Empty](ctx, f, protocol.MethodValidateConfig, protocol.ValidateConfigRequest{Config: config})
	return api.ValidateAnswer{Valid: true}, refusal
}

// ConfigVersions lists the accepted versions of the configuration.
func (f *Front) ConfigVersions(ctx context.Context) (api.ConfigVersions, *api.Error) {
	answer, refusal := relayRead[protocol.ConfigVersionsAnswer](ctx, f, protocol.MethodConfigVersions, protocol.Empty{})
	answer.Versions.Versions = nonNilSlice(answer.Versions.Versions)
	return answer.Versions, refusal
}

// Rollout lists the version of the configuration that each process has.
func (f *Front) Rollout(ctx context.Context) (api.Rollout, *api.Error) {
	answer, refusal := relayRead[protocol.RolloutAnswer](ctx, f, protocol.MethodRollout, protocol.Empty{})
	answer.Rollout.Processes = nonNilSlice(answer.Rollout.Processes)
	return answer.Rollout, refusal
}

// readConfig decodes a configuration without validating it. The leader validates a proposed
// configuration, and stores a rejection under the order id like any other outcome.
func readConfig(writer http.ResponseWriter, request *http.Request) (api.Config, *api.Error) {
	return readBody[api.Config](writer, request, maxConfigBytes)
}

// parsePutHeaders parses the headers of PUT /v1/config: the base version and the order id.
func parsePutHeaders(header http.Header) (base uint64, orderID string, refusal *api.Error) {
	baseText, orderID := header.Get(baseVersionHeader), header.Get(orderIDHeader)
	var missing []api.FieldError
	if baseText == "" {
		missing = append(missing, api.FieldError{Field: baseVersionHeader, Expected: "the version that this replaces, such as \"12\""})
	}
	if orderID == "" {
		missing = append(missing, api.FieldError{Field: orderIDHeader, Expected: "an id of this order, the same when it is sent again"})
	}
	if len(missing) > 0 {
		return 0, "", missingHeaders(missing)
	}
	base, err := strconv.ParseUint(unquoteETag(baseText), 10, 64)
	if err != nil {
		return 0, "", malformedField(baseVersionHeader, baseText, "a version number, plain or quoted")
	}
	if !orderIDPattern.MatchString(orderID) {
		return 0, "", malformedField(orderIDHeader, orderID, "1 to 128 printable characters without spaces")
	}
	return base, orderID, nil
}

// missingHeaders returns the error for PUT /v1/config without one of the required headers.
func missingHeaders(missing []api.FieldError) *api.Error {
	return &api.Error{
		Status:  http.StatusPreconditionRequired,
		Code:    api.CodeNoBase,
		Message: "a configuration needs the headers If-Match and Idempotency-Key",
		Fields:  missing,
	}
}

// unquoteETag removes the quotes of an entity tag, if it has any.
func unquoteETag(tag string) string {
	if len(tag) >= 2 && strings.HasPrefix(tag, `"`) && strings.HasSuffix(tag, `"`) {
		return tag[1 : len(tag)-1]
	}
	return tag
}

// setETag sets the ETag header of the answer to the version.
func setETag(writer http.ResponseWriter, version uint64) {
	writer.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}
