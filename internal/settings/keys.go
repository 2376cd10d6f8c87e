package settings

import (
	"encoding"
	"reflect"
	"strings"
)

// setting is one key of a settings struct, and its place in a value.
type setting struct {
	key      string
	value    reflect.Value
	validate string
	expected string
	usage    string
	live     bool
}

// settingsOf returns the keys of the struct that pointer points to, in the
// order of its fields.
func settingsOf(pointer any) []setting {
	return collect(reflect.ValueOf(pointer).Elem(), "", reflect.StructTag(""))
}

// collect walks one section. Tags of the section's own field hold for those
// of its keys that have none.
func collect(section reflect.Value, prefix string, outer reflect.StructTag) []setting {
	var settings []setting
	for i := range section.NumField() {
		field, value := section.Type().Field(i), section.Field(i)
		name, squash := keyName(field)
		switch {
		case squash:
			settings = append(settings, collect(value, prefix, outer)...)
		case isSection(value):
			settings = append(settings, collect(value, prefix+name+".", field.Tag)...)
		default:
			settings = append(settings, newSetting(prefix+name, value, field.Tag, outer))
		}
	}
	return settings
}

func newSetting(key string, value reflect.Value, tag, outer reflect.StructTag) setting {
	return setting{
		key:      key,
		value:    value,
		validate: tagOr(tag, outer, "validate"),
		expected: tagOr(tag, outer, "expected"),
		usage:    tagOr(tag, outer, "usage"),
		live:     tagOr(tag, outer, "live") == "true",
	}
}

func tagOr(tag, outer reflect.StructTag, name string) string {
	if text, ok := tag.Lookup(name); ok {
		return text
	}
	return outer.Get(name)
}

// keyName reads the koanf tag, or the yaml tag of types of package api.
func keyName(field reflect.StructField) (name string, squash bool) {
	tag, ok := field.Tag.Lookup("koanf")
	if !ok {
		tag = field.Tag.Get("yaml")
	}
	name, option, _ := strings.Cut(tag, ",")
	return name, option == "squash"
}

func isSection(value reflect.Value) bool {
	if value.Kind() != reflect.Struct {
		return false
	}
	_, isText := value.Addr().Interface().(encoding.TextUnmarshaler)
	return !isText
}
