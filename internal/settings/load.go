package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"
)

const delimiter = "."

// LoadOptions are the sources of settings.
type LoadOptions struct {
	// Path is the path of the YAML file. Default: the value of the flag --settings; if that
	// is empty too, no file is read.
	Path string
	// Flags are the parsed flags of BindFlags. Those set on the command line override the
	// file. Optional.
	Flags *pflag.FlagSet
}

// Load returns the validated settings: the defaults of T, overridden by the file, overridden
// by the flags set on the command line. An error about the settings is an *Error, which wraps
// ErrUsage and lists every invalid key on one line.
func Load[T any](options LoadOptions) (T, error) {
	var none T
	path, err := settingsPath(options)
	if err != nil {
		return none, err
	}
	content, err := readFile(path)
	if err != nil {
		return none, err
	}
	return parse[T](path, content, options.Flags)
}

// readFile returns the content of the settings file, or nil for an empty path. The error is an
// *Error.
func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		problem := Problem{Key: settingsFlag, Value: path, Expected: "a readable file: " + oneLine(err)}
		return nil, &Error{Problems: []Problem{problem}}
	}
	return content, nil
}

// parse does the work of Load on the content of the file. path is for errors only.
func parse[T any](path string, content []byte, flags *pflag.FlagSet) (T, error) {
	var none T
	source := koanf.New(delimiter)
	if err := source.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
		problem := Problem{Key: settingsFlag, Value: path, Expected: "valid YAML: " + oneLine(err)}
		return none, &Error{Problems: []Problem{problem}}
	}
	if err := loadFlags(source, flags); err != nil {
		return none, err
	}
	value := defaultsOf[T]()
	problems := fill(settingsOf(&value), source.Raw())
	problems = append(problems, check(&value, problems)...)
	if err := errorOf(problems); err != nil {
		return none, err
	}
	return value, nil
}

// loadFlags adds the flags set on the command line to source. It leaves out the others, as the
// struct already has the defaults.
func loadFlags(source *koanf.Koanf, flags *pflag.FlagSet) error {
	if flags == nil {
		return nil
	}
	changed := func(flag *pflag.Flag) (string, any) {
		if _, ours := flag.Value.(*flagValue); !ours || !flag.Changed {
			return "", nil
		}
		return flag.Name, flagText(flag.Value.String())
	}
	if err := source.Load(posflag.ProviderWithFlag(flags, delimiter, source, changed), nil); err != nil {
		return fmt.Errorf("read flags: %w", err)
	}
	return nil
}

func defaultsOf[T any]() T {
	var value T
	if settings, ok := any(&value).(defaultSetter); ok {
		settings.setDefaults()
	}
	return value
}

// fill sets the given keys, and returns a problem for each unknown key and each value of an
// invalid type.
func fill(settings []setting, given map[string]any) []Problem {
	byKey := map[string]setting{}
	for _, setting := range settings {
		byKey[setting.key] = setting
	}
	return fillSection(byKey, given, "")
}

func fillSection(byKey map[string]setting, given map[string]any, prefix string) []Problem {
	var problems []Problem
	for _, name := range sortedKeys(given) {
		key, raw := prefix+name, given[name]
		known, isSetting := byKey[key]
		section, isMap := raw.(map[string]any)
		switch {
		case isSetting:
			problems = append(problems, fillSetting(known, raw)...)
		case !isSectionKey(byKey, key):
			problems = append(problems, Problem{Key: key, Value: formatValue(raw), Expected: "a known key"})
		case isMap:
			problems = append(problems, fillSection(byKey, section, key+delimiter)...)
		case raw != nil:
			problems = append(problems, Problem{Key: key, Value: formatValue(raw), Expected: "a section of keys"})
		}
	}
	return problems
}

// fillSetting sets one key. It leaves the default if the file has the key without a value.
func fillSetting(known setting, raw any) []Problem {
	if raw == nil {
		return nil
	}
	if expected := assign(known.value, raw); expected != "" {
		return []Problem{{Key: known.key, Value: formatValue(raw), Expected: expected}}
	}
	return nil
}

func isSectionKey(byKey map[string]setting, key string) bool {
	for name := range byKey {
		if strings.HasPrefix(name, key+delimiter) {
			return true
		}
	}
	return false
}

func sortedKeys(values map[string]any) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
