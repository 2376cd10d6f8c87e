package settings

import (
	"fmt"
	"reflect"

	"github.com/spf13/pflag"
)

// settingsFlag names the file.
const settingsFlag = "settings"

// flagText is a value that came from a flag and is still to be converted.
type flagText string

// flagValue is a flag that keeps its text; Load converts and checks it like
// the file's values, so that all wrong keys are reported at once.
type flagValue struct {
	text string
	kind string
}

// String implements pflag.Value.
func (v *flagValue) String() string { return v.text }

// Set implements pflag.Value.
func (v *flagValue) Set(text string) error {
	v.text = text
	return nil
}

// Type implements pflag.Value.
func (v *flagValue) Type() string { return v.kind }

// BindFlags adds one flag for each key of T, named like the key, and
// --settings for the file. Load reads them.
func BindFlags[T any](flags *pflag.FlagSet) {
	flags.String(settingsFlag, "", "settings `file` in YAML; flags override it")
	value := defaultsOf[T]()
	for _, setting := range settingsOf(&value) {
		text := ""
		if !setting.value.IsZero() {
			text = show(setting.value.Interface())
		}
		flags.Var(&flagValue{text: text, kind: kindOf(setting.value)}, setting.key, setting.usage)
	}
}

func kindOf(value reflect.Value) string {
	switch {
	case value.Type() == durationType:
		return "duration"
	case value.Kind() == reflect.Slice:
		return "list"
	case value.Kind() == reflect.Map:
		return "pairs"
	case value.Kind() == reflect.String:
		return "text"
	case value.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "number"
	}
}

// fileOf returns the file named by the options or by --settings; empty if
// there is none.
func fileOf(options LoadOptions) (string, error) {
	if options.Path != "" || options.Flags == nil || options.Flags.Lookup(settingsFlag) == nil {
		return options.Path, nil
	}
	path, err := options.Flags.GetString(settingsFlag)
	if err != nil {
		return "", fmt.Errorf("read --%s: %w", settingsFlag, err)
	}
	return path, nil
}
