package settings

import (
	"fmt"
	"reflect"

	"github.com/spf13/pflag"
)

// settingsFlag is the name of the flag for the path of the settings file.
const settingsFlag = "settings"

// flagText is the unconverted value of a flag.
type flagText string

// flagValue is the pflag.Value of a key. It stores the text only: Load converts and checks it
// together with the values of the file, so that one error lists all invalid keys.
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

// BindFlags adds one flag for each key of T, with the key as its name, and --settings for the
// path of the file. LoadOptions.Flags passes the flags to Load.
func BindFlags[T any](flags *pflag.FlagSet) {
	flags.String(settingsFlag, "", "settings `file` in YAML; flags override it")
	value := defaultsOf[T]()
	for _, setting := range settingsOf(&value) {
		text := ""
		if !setting.value.IsZero() {
			text = formatValue(setting.value.Interface())
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

// settingsPath returns the path in the options, else that of --settings, else "".
func settingsPath(options LoadOptions) (string, error) {
	if options.Path != "" || options.Flags == nil || options.Flags.Lookup(settingsFlag) == nil {
		return options.Path, nil
	}
	path, err := options.Flags.GetString(settingsFlag)
	if err != nil {
		return "", fmt.Errorf("read --%s: %w", settingsFlag, err)
	}
	return path, nil
}
