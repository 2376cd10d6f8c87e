package httpjson

import (
	"fmt"
	"net/http"

	"github.com/decklever/decklever/api"
)

// NotFound returns the error for a resource that does not exist.
func NotFound(message string) *api.Error {
	return &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound, Message: message}
}

// PathNotFound returns the error for a path that is not served.
func PathNotFound(path string) *api.Error {
	return NotFound(fmt.Sprintf("there is nothing at %s", path))
}

// Internal returns the error for a fault of the server itself.
func Internal(message string) *api.Error {
	return &api.Error{Status: http.StatusInternalServerError, Code: api.CodeInternal, Message: message}
}

// Invalid returns the error for a body with invalid fields. subject names the
// content of the body, such as "job".
func Invalid(subject string, fields []api.FieldError) *api.Error {
	return &api.Error{
		Status:  http.StatusUnprocessableEntity,
		Code:    api.CodeInvalid,
		Message: fmt.Sprintf("the %s has %d wrong fields", subject, len(fields)),
		Fields:  fields,
	}
}

// WriteMethodNotAllowed answers 405 for a method that the path does not support. allowed
// is the value of the Allow header: the supported methods, separated by commas.
func WriteMethodNotAllowed(writer http.ResponseWriter, allowed, message string) {
	writer.Header().Set("Allow", allowed)
	WriteError(writer, &api.Error{
		Status:  http.StatusMethodNotAllowed,
		Code:    api.CodeWrongMethod,
		Message: message,
	})
}
