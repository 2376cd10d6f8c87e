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

// TestOpenAPI_HasAllFields checks that each Go type in a request or an answer
// has a schema of the same name with the same fields, and that each schema of an
// object has a Go type.
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
	schemas := loadOpenAPI(t).Components.Schemas
	for name, schema := range schemas {
		if schema.Value.Description == "" {
			t.Errorf("%s has no description", name)
		}
		if _, known := types[name]; schema.Value.Type.Is("object") && !known {
			t.Errorf("schema %s has no Go type", name)
		}
	}
	for name, typ := range types {
		if schema, found := schemas[name]; found {
			compareFields(t, name, schema.Value, typ)
			continue
		}
		t.Errorf("type %s has no schema", name)
	}
}

// collectStructs adds the struct types that typ consists of to types, by name.
func collectStructs(types map[string]reflect.Type, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		collectStructs(types, typ.Elem())
	case reflect.Struct:
		if typ == reflect.TypeFor[time.Time]() || types[typ.Name()] != nil {
			return
		}
		types[typ.Name()] = typ
		for _, field := range reflect.VisibleFields(typ) {
			collectStructs(types, field.Type)
		}
	}
}

// compareFields compares the names and types of the fields, and whether they are
// required: the schema must require a field if, and only if, it has no omitempty
// in Go. The schema need not require the fields in optionalForCallers.
func compareFields(t *testing.T, name string, schema *openapi3.Schema, typ reflect.Type) {
	t.Helper()
	var fields []string
	for _, field := range reflect.VisibleFields(typ) {
		jsonName, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields = append(fields, jsonName)
		property := schema.Properties[jsonName]
		if property == nil {
			continue // reported by the comparison of names below
		}
		if property.Value.Description == "" {
			t.Errorf("%s.%s has no description", name, jsonName)
		}
		if got, want := schemaType(property.Value), goType(field.Type); got != want {
			t.Errorf("type of %s.%s: got %s in the file, want %s as in Go", name, jsonName, got, want)
		}
		optional := strings.Contains(options, "omitempty")
		if required := slices.Contains(schema.Required, jsonName); required && optional || !required && !optional && !optionalForCallers[name+"."+jsonName] {
			t.Errorf("%s.%s: required is %v in the file, but omitempty is %v in Go", name, jsonName, required, optional)
		}
	}
	if documented := slices.Sorted(maps.Keys(schema.Properties)); !slices.Equal(documented, slices.Sorted(slices.Values(fields))) {
		t.Errorf("fields of %s: got %v in the file, want %v as in Go", name, documented, fields)
	}
}

// optionalForCallers has the fields that answers always have and requests may omit.
var optionalForCallers = map[string]bool{"Config.drains": true, "Config.limits": true, "Config.timings": true}

// schemaType returns the JSON type of a schema. A reference that has its own
// description is the only element of an allOf.
func schemaType(schema *openapi3.Schema) string {
	if len(schema.AllOf) == 1 {
		schema = schema.AllOf[0].Value
	}
	if schema.Type == nil {
		return "any"
	}
	return strings.Join(schema.Type.Slice(), ",")
}

// goType returns the JSON type that a Go type is encoded as.
func goType(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[api.Duration]() || typ == reflect.TypeFor[time.Time]():
		return "string"
	case typ == reflect.TypeFor[json.RawMessage]():
		return "any"
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return goType(typ.Elem())
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
