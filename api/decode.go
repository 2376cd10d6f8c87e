package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// DecodeStrict decodes one JSON object into the struct that into points to.
// Unknown fields, values of a wrong type, an empty body, null, and anything
// after the object give status 400 and CodeMalformed, with every invalid
// field named. A reader of http.MaxBytesReader that reached its limit gives
// status 413 and CodeTooLarge.
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

// decodeObject decodes exactly one object.
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

// bodyError is the error of a body that could not be read.
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

// malformed is the error of a body that cannot be decoded.
func malformed(message string) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeMalformed, Message: message}
}
