package docs_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestConfigurationPageListsEveryField(t *testing.T) {
	page := read(t, "CONFIGURATION.md")
	for _, field := range configFields(reflect.TypeFor[api.Config](), "") {
		if !strings.Contains(page, "| `"+field+"` |") {
			t.Errorf("CONFIGURATION.md has no row for %s", field)
		}
	}
}

// configFields lists the paths of the fields of a struct, such as
// "queues[].name". A field that holds a struct is listed by its fields.
func configFields(holder reflect.Type, prefix string) []string {
	var fields []string
	for i := range holder.NumField() {
		field := holder.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		path, kind := prefix+name, field.Type
		if kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct {
			path, kind = path+"[]", kind.Elem()
		}
		if kind.Kind() == reflect.Struct {
			fields = append(fields, configFields(kind, path+".")...)
			continue
		}
		fields = append(fields, path)
	}
	return fields
}
