package front

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/telemetry"
)

// TestOpenAPI_HasAllFields compares schemas with Go types both ways: each
// type that an answer or a request holds has a schema of its name, and each
// schema of an object has a type.
func TestOpenAPI_HasAllFields(t *testing.T) {
	types := map[string]reflect.Type{}
	for _, root := range []any{
		api.JobSpec{},
		api.SubmitAnswer{},
		api.JobStatus{},
		api.JobList{},
		api.ConfigStatus{},
		api.ValidateAnswer{},
		api.ConfigVersions{},
		api.Rollout{},
		api.WorkerList{},
		api.MemberList{},
		api.QueueList{},
		api.BookingList{},
		api.DrainList{},
		api.ReleaseRequest{},
		api.ReleaseAnswer{},
		api.CancelRequest{},
		api.CancelAnswer{},
		api.Error{},
		telemetry.HealthStatus{},
	} {
		collectStructs(types, reflect.TypeOf(root))
	}
	schemas := loadInterface(t).Components.Schemas
	for name, schema := range schemas {
		if schema.Value.Description == "" {
			t.Errorf("%s has no description", name)
		}
		if _, known := types[name]; schema.Value.Type.Is("object") && !known {
			t.Errorf("schema %s has no Go type", name)
		}
	}
	for name, kind := range types {
		if schema, found := schemas[name]; found {
			compareFields(t, name, schema.Value, kind)
			continue
		}
		t.Errorf("type %s has no schema", name)
	}
}

// collectStructs finds the structs with JSON fields that a type is made of.
func collectStructs(into map[string]reflect.Type, kind reflect.Type) {
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		collectStructs(into, kind.Elem())
	case reflect.Struct:
		if kind == reflect.TypeFor[time.Time]() || into[kind.Name()] != nil {
			return
		}
		into[kind.Name()] = kind
		for _, field := range reflect.VisibleFields(kind) {
			collectStructs(into, field.Type)
		}
	}
}

// compareFields compares names, types and whether answers always have the
// field: what Go never leaves out is required, unless callers may.
func compareFields(t *testing.T, name string, schema *openapi3.Schema, kind reflect.Type) {
	t.Helper()
	var fields []string
	for _, field := range reflect.VisibleFields(kind) {
		jsonName, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields = append(fields, jsonName)
		property := schema.Properties[jsonName]
		if property == nil {
			continue // named below
		}
		if property.Value.Description == "" {
			t.Errorf("%s.%s has no description", name, jsonName)
		}
		if got, want := schemaType(property.Value), goType(field.Type); got != want {
			t.Errorf("%s.%s is %s in the file and %s in Go", name, jsonName, got, want)
		}
		optional := strings.Contains(options, "omitempty")
		if required := slices.Contains(schema.Required, jsonName); required && optional || !required && !optional && !optionalForCallers[name+"."+jsonName] {
			t.Errorf("%s.%s is required %v in the file, but omitempty %v in Go", name, jsonName, required, optional)
		}
	}
	if described := slices.Sorted(maps.Keys(schema.Properties)); !slices.Equal(described, slices.Sorted(slices.Values(fields))) {
		t.Errorf("%s has %v in the file and %v in Go", name, described, fields)
	}
}

// optionalForCallers are fields that answers always have and requests need not.
var optionalForCallers = map[string]bool{"Config.drains": true, "Config.limits": true, "Config.timings": true}

// schemaType is the JSON type of a schema; a described reference is wrapped.
func schemaType(schema *openapi3.Schema) string {
	if len(schema.AllOf) == 1 {
		schema = schema.AllOf[0].Value
	}
	if schema.Type == nil {
		return "any"
	}
	return strings.Join(schema.Type.Slice(), ",")
}

// goType is the JSON type that a Go type is written as.
func goType(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[api.Duration]() || kind == reflect.TypeFor[time.Time]():
		return "string"
	case kind == reflect.TypeFor[json.RawMessage]():
		return "any"
	}
	switch kind.Kind() {
	case reflect.Pointer:
		return goType(kind.Elem())
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "array"
	case reflect.Map, reflect.Struct:
		return "object"
	default:
		return "integer"
	}
}
