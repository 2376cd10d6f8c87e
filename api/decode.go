package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
)

// DecodeStrict reads one JSON object into the struct that into points to. It
// refuses unknown fields, values of a wrong type, an empty body, null, and
// anything behind the object, with status 400 and CodeMalformed; every wrong
// field is named. A reader of http.MaxBytesReader that ran out gives status
// 413 and CodeTooLarge.
func DecodeStrict(reader io.Reader, into any) *Error {
	data, err := io.ReadAll(reader)
	if err != nil {
		return readError(err)
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
		return explain(data, into, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return malformed("there is more behind the JSON object of the body")
	}
	return nil
}

// explain finds every field that made the decoder fail; the decoder itself
// names only the first, and not always where it is.
func explain(data []byte, into any, cause error) *Error {
	var found fieldErrors
	findWrong(&found, data, reflect.TypeOf(into).Elem(), "")
	refusal := malformed("the body has unknown fields or wrong types")
	refusal.Fields = found.all()
	if len(refusal.Fields) == 0 {
		refusal.Message = cause.Error()
	}
	return refusal
}

// findWrong compares a JSON value with the Go type that is to hold it.
func findWrong(found *fieldErrors, data json.RawMessage, kind reflect.Type, path string) {
	target := reflect.New(kind)
	if decodesItself(target) || !isComposite(kind) {
		if err := json.Unmarshal(data, target.Interface()); err != nil {
			found.add(path, string(data), expectation(kind, err))
		}
		return
	}
	switch kind.Kind() {
	case reflect.Pointer:
		findWrong(found, data, kind.Elem(), path)
	case reflect.Slice:
		findWrongElements(found, data, kind, path)
	case reflect.Map:
		findWrongValues(found, data, kind, path)
	default:
		findWrongFields(found, data, kind, path)
	}
}

// findWrongElements looks into a list.
func findWrongElements(found *fieldErrors, data json.RawMessage, kind reflect.Type, path string) {
	var elements []json.RawMessage
	if json.Unmarshal(data, &elements) != nil {
		found.add(path, string(data), "a list")
		return
	}
	for index, element := range elements {
		findWrong(found, element, kind.Elem(), fmt.Sprintf("%s[%d]", path, index))
	}
}

// findWrongValues looks into a map.
func findWrongValues(found *fieldErrors, data json.RawMessage, kind reflect.Type, path string) {
	members, ok := membersOf(data)
	if !ok {
		found.add(path, string(data), "an object")
		return
	}
	for _, member := range members {
		findWrong(found, member.value, kind.Elem(), joinPath(path, member.name))
	}
}

// findWrongFields looks into an object with known fields. Names match without
// regard to case, as they do in encoding/json.
func findWrongFields(found *fieldErrors, data json.RawMessage, kind reflect.Type, path string) {
	members, ok := membersOf(data)
	if !ok {
		found.add(path, string(data), "an object")
		return
	}
	for _, member := range members {
		field, known := fieldNamed(kind, member.name)
		if !known {
			found.add(joinPath(path, member.name), string(member.value), "no such field; known are "+knownFields(kind))
			continue
		}
		findWrong(found, member.value, field, joinPath(path, member.name))
	}
}

// jsonMember is one name and value of a JSON object.
type jsonMember struct {
	name  string
	value json.RawMessage
}

// membersOf reads an object in its own order; null is an empty one.
func membersOf(data json.RawMessage) ([]jsonMember, bool) {
	if string(data) == "null" {
		return nil, true
	}
	if len(data) == 0 || data[0] != '{' {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return nil, false
	}
	var members []jsonMember
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, false
		}
		member := jsonMember{name: fmt.Sprint(name)}
		if err := decoder.Decode(&member.value); err != nil {
			return nil, false
		}
		members = append(members, member)
	}
	return members, true
}

// fieldNamed finds the type of a field by its JSON name.
func fieldNamed(kind reflect.Type, name string) (reflect.Type, bool) {
	for _, field := range reflect.VisibleFields(kind) {
		if !field.Anonymous && strings.EqualFold(jsonName(field), name) {
			return field.Type, true
		}
	}
	return nil, false
}

// knownFields lists the JSON names of a struct's fields.
func knownFields(kind reflect.Type) string {
	var names []string
	for _, field := range reflect.VisibleFields(kind) {
		if !field.Anonymous {
			names = append(names, jsonName(field))
		}
	}
	return strings.Join(names, ", ")
}

// jsonName is the name of a struct's field in JSON.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// isComposite reports whether values of the type have parts to look into.
func isComposite(kind reflect.Type) bool {
	switch kind.Kind() {
	case reflect.Struct, reflect.Slice, reflect.Map, reflect.Pointer:
		return true
	default:
		return false
	}
}

// decodesItself reports whether the type has its own JSON form, such as a
// time, a duration or a raw message.
func decodesItself(target reflect.Value) bool {
	_, ok := target.Interface().(json.Unmarshaler)
	return ok
}

// expectation says what a value of the type must look like.
func expectation(kind reflect.Type, cause error) string {
	if kind == reflect.TypeFor[Duration]() {
		return "a duration as text, such as \"250ms\" or \"1h30m\""
	}
	switch kind.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint32, reflect.Uint64:
		return "a whole number, not negative"
	case reflect.Struct:
		return "a time as text, such as \"2026-01-31T14:00:00Z\""
	default:
		return cause.Error()
	}
}

// joinPath appends a field to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// readError is the refusal of a body that could not be read.
func readError(err error) *Error {
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

// malformed is the refusal of a body that is not what was expected.
func malformed(message string) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeMalformed, Message: message}
}
