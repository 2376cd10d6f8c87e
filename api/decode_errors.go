package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// decodeError returns an error with every field that made decoding fail. The
// decoder itself reports only the first one, not always with its path.
func decodeError(data []byte, into any, cause error) *Error {
	var found fieldErrors
	collectFieldErrors(&found, data, reflect.TypeOf(into).Elem(), "")
	refusal := malformed("the body has unknown fields or wrong types")
	refusal.Fields = found.result()
	if len(refusal.Fields) == 0 {
		refusal.Message = cause.Error()
	}
	return refusal
}

// collectFieldErrors records each part of a JSON value that cannot be decoded
// into the Go type.
func collectFieldErrors(found *fieldErrors, data json.RawMessage, goType reflect.Type, path string) {
	target := reflect.New(goType)
	if hasUnmarshaler(target) || !isComposite(goType) {
		if err := json.Unmarshal(data, target.Interface()); err != nil {
			found.add(path, string(data), expectation(goType, err))
		}
		return
	}
	switch goType.Kind() {
	case reflect.Pointer:
		collectFieldErrors(found, data, goType.Elem(), path)
	case reflect.Slice:
		collectElementErrors(found, data, goType, path)
	case reflect.Map:
		collectMapErrors(found, data, goType, path)
	default:
		collectStructErrors(found, data, goType, path)
	}
}

// collectElementErrors records the errors in the elements of a list.
func collectElementErrors(found *fieldErrors, data json.RawMessage, goType reflect.Type, path string) {
	var elements []json.RawMessage
	if json.Unmarshal(data, &elements) != nil {
		found.add(path, string(data), "a list")
		return
	}
	for index, element := range elements {
		collectFieldErrors(found, element, goType.Elem(), fmt.Sprintf("%s[%d]", path, index))
	}
}

// collectMapErrors records the errors in the values of a map.
func collectMapErrors(found *fieldErrors, data json.RawMessage, goType reflect.Type, path string) {
	members, ok := objectMembers(data)
	if !ok {
		found.add(path, string(data), "an object")
		return
	}
	for _, member := range members {
		collectFieldErrors(found, member.value, goType.Elem(), joinPath(path, member.name))
	}
}

// collectStructErrors records the errors in the fields of a struct and its
// unknown fields. Names match regardless of case, as in encoding/json.
func collectStructErrors(found *fieldErrors, data json.RawMessage, goType reflect.Type, path string) {
	members, ok := objectMembers(data)
	if !ok {
		found.add(path, string(data), "an object")
		return
	}
	for _, member := range members {
		field, known := fieldTypeByName(goType, member.name)
		if !known {
			found.add(joinPath(path, member.name), string(member.value), "no such field; known are "+knownFields(goType))
			continue
		}
		collectFieldErrors(found, member.value, field, joinPath(path, member.name))
	}
}

// jsonMember is a member of a JSON object.
type jsonMember struct {
	name  string
	value json.RawMessage
}

// objectMembers returns the members of an object in their order, or false if
// data is not an object. null counts as an empty object.
func objectMembers(data json.RawMessage) ([]jsonMember, bool) {
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

// fieldTypeByName returns the type of the struct field with a JSON name, or false
// if there is none.
func fieldTypeByName(goType reflect.Type, name string) (reflect.Type, bool) {
	for _, field := range reflect.VisibleFields(goType) {
		if !field.Anonymous && strings.EqualFold(jsonName(field), name) {
			return field.Type, true
		}
	}
	return nil, false
}

// knownFields returns a list of the JSON names of a struct's fields, as text.
func knownFields(goType reflect.Type) string {
	var names []string
	for _, field := range reflect.VisibleFields(goType) {
		if !field.Anonymous {
			names = append(names, jsonName(field))
		}
	}
	return strings.Join(names, ", ")
}

// jsonName returns the JSON name of a struct field.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// isComposite reports whether values of the type have elements or fields to
// check.
func isComposite(goType reflect.Type) bool {
	switch goType.Kind() {
	case reflect.Struct, reflect.Slice, reflect.Map, reflect.Pointer:
		return true
	default:
		return false
	}
}

// hasUnmarshaler reports whether the type that target points to implements
// json.Unmarshaler, such as a time, a duration or a raw message.
func hasUnmarshaler(target reflect.Value) bool {
	_, ok := target.Interface().(json.Unmarshaler)
	return ok
}

// expectation returns the text of FieldError.Expected for a type. cause is the
// error of decoding, which is used for types without a text.
func expectation(goType reflect.Type, cause error) string {
	if goType == reflect.TypeFor[Duration]() {
		return "a duration as text, such as \"250ms\" or \"1h30m\""
	}
	switch goType.Kind() {
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

// joinPath returns the path of a field of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
