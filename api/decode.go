package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// DecodeStrict decodes one JSON object into the struct that into points to. It
// returns an error with status 400 and CodeMalformed for an empty body, null,
// data after the object, unknown fields and values of a wrong type; for the last
// two, Fields names every invalid field. If the reader is from
// http.MaxBytesReader and reached its limit, the error has status 413 and
// CodeTooLarge.
func DecodeStrict(reader io.Reader, into any) *Error {
	data, err := io.ReadAll(reader)
	if err != nil {
		return bodyError(err)
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return malformed("the body is empty; expected a JSON object")
	}
	if data[0] != '{' {
		return malformed("the body is not a JSON object")
	}
	return decodeObject(data, into)
}

// decodeObject decodes data, which must be exactly one JSON object.
func decodeObject(data []byte, into any) *Error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) || errors.Is(err, io.ErrUnexpectedEOF) {
		return malformed(fmt.Sprintf("the body is not valid JSON: %v", err))
	}
	if err != nil {
		return decodeError(data, into, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return malformed("there is more behind the JSON object of the body")
	}
	return nil
}

// bodyError returns the error of a body that could not be read.
func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    CodeTooLarge,
			Message: fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit),
		}
	}
	return malformed(fmt.Sprintf("the body could not be read: %v", err))
}

// malformed returns the error of a request that is not well-formed.
func malformed(message string) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeMalformed, Message: message}
}
