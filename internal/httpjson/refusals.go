package httpjson

import (
	"fmt"
	"net/http"

	"github.com/decklever/decklever/api"
)

// NotFound is the refusal of what is not there.
func NotFound(message string) *api.Error {
	return &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound, Message: message}
}

// NothingAt is the refusal of a path that is not served.
func NothingAt(path string) *api.Error {
	return NotFound(fmt.Sprintf("there is nothing at %s", path))
}

// Internal is the refusal for a fault of our own.
func Internal(message string) *api.Error {
	return &api.Error{Status: http.StatusInternalServerError, Code: api.CodeInternal, Message: message}
}

// Invalid is the refusal of a body with wrong fields; what names the body.
func Invalid(what string, fields []api.FieldError) *api.Error {
	return &api.Error{
		Status:  http.StatusUnprocessableEntity,
		Code:    api.CodeInvalid,
		Message: fmt.Sprintf("the %s has %d wrong fields", what, len(fields)),
		Fields:  fields,
	}
}

// RefuseMethod answers a method that the path does not have; allowed lists
// those that it has, as the Allow header does.
func RefuseMethod(writer http.ResponseWriter, allowed, message string) {
	writer.Header().Set("Allow", allowed)
	WriteError(writer, &api.Error{
		Status:  http.StatusMethodNotAllowed,
		Code:    api.CodeWrongMethod,
		Message: message,
	})
}
