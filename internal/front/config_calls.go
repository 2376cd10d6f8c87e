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

// maxConfigBytes bounds the body of a configuration.
const maxConfigBytes = 4 << 20

// Headers of PUT /v1/config.
const (
	baseHeader  = "If-Match"
	orderHeader = "Idempotency-Key"
)

// orderPattern is the form of an order id: printable, without spaces.
var orderPattern = regexp.MustCompile(`^[!-~]{1,128}$`)

// getConfig serves GET /v1/config.
func (f *Front) getConfig(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	status, refusal := f.Config(request.Context())
	if refusal != nil {
		return 0, nil, refusal
	}
	setVersion(writer, status.Version)
	return http.StatusOK, status, nil
}

// Config returns the configuration in force, as it was put.
func (f *Front) Config(ctx context.Context) (api.ConfigStatus, *api.Error) {
	answer, refusal := read[protocol.ConfigAnswer](ctx, f, protocol.MethodGetConfig, protocol.Empty{})
	answer.Status.Config.Queues = nonNilSlice(answer.Status.Config.Queues)
	return answer.Status, refusal
}

// ConfigAnnotation returns one annotation of the configuration, and the version. The
// leader sends no other content, which may be large.
func (f *Front) ConfigAnnotation(ctx context.Context, name string) (version uint64, value string, refusal *api.Error) {
	answer, refusal := read[protocol.ConfigAnswer](ctx, f, protocol.MethodGetConfig, protocol.ConfigRequest{Annotation: name})
	return answer.Status.Version, answer.Status.Config.Annotations[name], refusal
}

// putConfig serves PUT /v1/config.
func (f *Front) putConfig(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	base, orderID, refusal := orderOf(request.Header)
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
	setVersion(writer, status.Version)
	return http.StatusOK, status, nil
}

// PutConfig proposes a configuration in the place of the version base. The order id is the
// idempotency key.
func (f *Front) PutConfig(ctx context.Context, orderID string, base uint64, config api.Config) (api.ConfigStatus, *api.Error) {
	request := protocol.PutConfigRequest{OrderID: orderID, Base: base, Config: config}
	answer, refusal := change[protocol.PutConfigAnswer](ctx, f, protocol.MethodPutConfig, request)
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
	_, refusal := read[protocol.Empty](ctx, f, protocol.MethodValidateConfig, protocol.ValidateConfigRequest{Config: config})
	return api.ValidateAnswer{Valid: true}, refusal
}

// ConfigVersions lists the accepted versions of the configuration.
func (f *Front) ConfigVersions(ctx context.Context) (api.ConfigVersions, *api.Error) {
	answer, refusal := read[protocol.ConfigVersionsAnswer](ctx, f, protocol.MethodConfigVersions, protocol.Empty{})
	answer.Versions.Versions = nonNilSlice(answer.Versions.Versions)
	return answer.Versions, refusal
}

// Rollout lists which process has which version of the configuration.
func (f *Front) Rollout(ctx context.Context) (api.Rollout, *api.Error) {
	answer, refusal := read[protocol.RolloutAnswer](ctx, f, protocol.MethodRollout, protocol.Empty{})
	answer.Rollout.Processes = nonNilSlice(answer.Rollout.Processes)
	return answer.Rollout, refusal
}

// readConfig decodes a configuration. The leader validates it, and stores a rejection
// under the order id like every other outcome.
func readConfig(writer http.ResponseWriter, request *http.Request) (api.Config, *api.Error) {
	return readBody[api.Config](writer, request, maxConfigBytes)
}

// orderOf parses the base version and the order id of a PUT.
func orderOf(header http.Header) (base uint64, orderID string, refusal *api.Error) {
	baseText, orderID := header.Get(baseHeader), header.Get(orderHeader)
	var missing []api.FieldError
	if baseText == "" {
		missing = append(missing, api.FieldError{Field: baseHeader, Expected: "the version that this replaces, such as \"12\""})
	}
	if orderID == "" {
		missing = append(missing, api.FieldError{Field: orderHeader, Expected: "an id of this order, the same when it is sent again"})
	}
	if len(missing) > 0 {
		return 0, "", missingBase(missing)
	}
	base, err := strconv.ParseUint(unquote(baseText), 10, 64)
	if err != nil {
		return 0, "", malformedField(baseHeader, baseText, "a version number, plain or quoted")
	}
	if !orderPattern.MatchString(orderID) {
		return 0, "", malformedField(orderHeader, orderID, "1 to 128 printable characters without spaces")
	}
	return base, orderID, nil
}

// missingBase is the error of a PUT that does not say what it replaces.
func missingBase(missing []api.FieldError) *api.Error {
	return &api.Error{
		Status:  http.StatusPreconditionRequired,
		Code:    api.CodeNoBase,
		Message: "a configuration needs the headers If-Match and Idempotency-Key",
		Fields:  missing,
	}
}

// unquote removes the quotes of an entity tag.
func unquote(tag string) string {
	if len(tag) >= 2 && strings.HasPrefix(tag, `"`) && strings.HasSuffix(tag, `"`) {
		return tag[1 : len(tag)-1]
	}
	return tag
}

// setVersion sets the version as the entity tag of the answer.
func setVersion(writer http.ResponseWriter, version uint64) {
	writer.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}
