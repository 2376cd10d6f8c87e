package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
)

var durationType = reflect.TypeFor[api.Duration]()

// assign converts a value from the file or a flag to the key's type and sets the key. If the
// value is invalid, it sets nothing and returns what was expected, else "".
func assign(into reflect.Value, raw any) (expected string) {
	if flag, ok := raw.(flagText); ok {
		return assignText(into, string(flag))
	}
	switch {
	case into.Type() == durationType:
		return assignDuration(into, raw)
	case into.Kind() == reflect.String:
		return assignString(into, raw)
	case into.Kind() == reflect.Bool:
		return assignBool(into, raw)
	case into.Kind() == reflect.Slice:
		return assignList(into, raw)
	case into.Kind() == reflect.Map:
		return assignMap(into, raw)
	default:
		return assignNumber(into, raw)
	}
}

// assignText converts a flag's text. Items of lists and maps are separated by commas.
func assignText(into reflect.Value, text string) string {
	switch into.Kind() {
	case reflect.Slice:
		return assignList(into, splitList(text))
	case reflect.Map:
		pairs, ok := splitPairs(text)
		if !ok {
			return "KEY=VALUE separated by commas"
		}
		into.Set(reflect.ValueOf(pairs))
		return ""
	case reflect.Int, reflect.Int64, reflect.Uint64:
		if into.Type() == durationType {
			return assignDuration(into, text)
		}
		return assignDigits(into, text)
	case reflect.Bool:
		return assignBool(into, text)
	default:
		return assignString(into, text)
	}
}

// assignBool accepts the boolean of a file and the words "true" and "false" of a flag.
func assignBool(into reflect.Value, raw any) string {
	switch fmt.Sprint(raw) {
	case "true":
		into.SetBool(true)
	case "false":
		into.SetBool(false)
	default:
		return "true or false"
	}
	return ""
}

func assignDuration(into reflect.Value, raw any) string {
	const expected = `a duration such as "200ms"`
	text, ok := raw.(string)
	if !ok {
		return expected
	}
	var duration api.Duration
	if duration.UnmarshalText([]byte(text)) != nil {
		return expected
	}
	into.Set(reflect.ValueOf(duration))
	return ""
}

func assignString(into reflect.Value, raw any) string {
	text, ok := raw.(string)
	if !ok {
		return "text, in quotes if it looks like a number"
	}
	into.SetString(text)
	return ""
}

func assignNumber(into reflect.Value, raw any) string {
	switch raw.(type) {
	case int, int64, uint64:
		return assignDigits(into, fmt.Sprint(raw))
	default:
		return "a whole number"
	}
}

func assignDigits(into reflect.Value, digits string) string {
	if into.CanUint() {
		number, err := strconv.ParseUint(digits, 10, into.Type().Bits())
		if err != nil {
			return "a whole number, 0 or more"
		}
		into.SetUint(number)
		return ""
	}
	number, err := strconv.ParseInt(digits, 10, into.Type().Bits())
	if err != nil {
		return "a whole number"
	}
	into.SetInt(number)
	return ""
}

func assignList(into reflect.Value, raw any) string {
	const expected = "a list of text"
	switch list := raw.(type) {
	case []string:
		into.Set(reflect.ValueOf(list))
		return ""
	case []any:
		texts := make([]string, len(list))
		for i, item := range list {
			text, ok := item.(string)
			if !ok {
				return expected
			}
			texts[i] = text
		}
		into.Set(reflect.ValueOf(texts))
		return ""
	default:
		return expected
	}
}

func assignMap(into reflect.Value, raw any) string {
	const expected = "a section of text values"
	pairs, ok := raw.(map[string]any)
	if !ok {
		return expected
	}
	texts := make(map[string]string, len(pairs))
	for key, value := range pairs {
		text, ok := value.(string)
		if !ok {
			return expected
		}
		texts[key] = text
	}
	into.Set(reflect.ValueOf(texts))
	return ""
}

func splitList(text string) []string {
	if text == "" {
		return []string{}
	}
	return strings.Split(text, ",")
}

func splitPairs(text string) (map[string]string, bool) {
	pairs := map[string]string{}
	for _, item := range splitList(text) {
		key, value, ok := strings.Cut(item, "=")
		if !ok || key == "" {
			return nil, false
		}
		pairs[key] = value
	}
	return pairs, true
}

// formatValue returns a value as errors, flags and the reference show it: the
// items of a list or section separated by commas, truncated to maxValueBytes.
func formatValue(raw any) string {
	switch value := raw.(type) {
	case nil:
		return ""
	case []string:
		return truncate(strings.Join(value, ","))
	case []any:
		items := make([]string, len(value))
		for i, item := range value {
			items[i] = fmt.Sprint(item)
		}
		return truncate(strings.Join(items, ","))
	case map[string]any:
		return truncate(formatMap(value))
	default:
		return truncate(fmt.Sprint(value))
	}
}

func formatMap(pairs map[string]any) string {
	items := make([]string, 0, len(pairs))
	for key, value := range pairs {
		items = append(items, fmt.Sprintf("%s=%v", key, value))
	}
	slices.Sort(items)
	return strings.Join(items, ",")
}
