package settings

import (
	"encoding"
	"reflect"
	"strings"
)

// setting is one key of a settings struct: the texts of its struct tags, and the addressable
// field that holds its value.
type setting struct {
	key      string
	value    reflect.Value
	validate string
	expected string
	usage    string
	live     bool
}

// settingsOf returns the keys of the struct that pointer points to, in the order of its
// fields. Setting their values changes that struct.
func settingsOf(pointer any) []setting {
	return collect(reflect.ValueOf(pointer).Elem(), "", reflect.StructTag(""))
}

// collect returns the keys of one section and of the sections inside it. outer has the tags of
// the section's own field; they apply to its keys that lack a tag of that name.
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

// isSection reports whether a field is a section of keys: a struct that does not
// unmarshal from text.
func isSection(value reflect.Value) bool {
	if value.Kind() != reflect.Struct {
		return false
	}
	_, isText := value.Addr().Interface().(encoding.TextUnmarshaler)
	return !isText
}
