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

// LoadOptions says where settings come from.
type LoadOptions struct {
	// Path is the YAML file. Default: the flag --settings; if that is empty
	// too, there is no file.
	Path string
	// Flags override the file where they were given. Optional; made by
	// BindFlags and parsed.
	Flags *pflag.FlagSet
}

// Load returns the defaults of T, overridden by the file, overridden by the
// flags that were given, all checked. An error that is about the settings is
// an *Error, wraps ErrUsage, and lists every wrong key on one line.
func Load[T any](options LoadOptions) (T, error) {
	var none T
	path, err := fileOf(options)
	if err != nil {
		return none, err
	}
	content, err := readFile(path)
	if err != nil {
		return none, err
	}
	return parse[T](path, content, options.Flags)
}

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

// parse is Load without reading the file.
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

// loadFlags takes the flags that were given. Others are left out, as the
// defaults stand in the struct already.
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
	if settings, ok := any(&value).(withDefaults); ok {
		settings.setDefaults()
	}
	return value
}

// fill sets each key that is given, and reports unknown keys and values of a
// wrong type.
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
			problems = append(problems, Problem{Key: key, Value: show(raw), Expected: "a known key"})
		case isMap:
			problems = append(problems, fillSection(byKey, section, key+delimiter)...)
		case raw != nil:
			problems = append(problems, Problem{Key: key, Value: show(raw), Expected: "a section of keys"})
		}
	}
	return problems
}

// fillSetting leaves the default where the file has the key without a value.
func fillSetting(known setting, raw any) []Problem {
	if raw == nil {
		return nil
	}
	if expected := assign(known.value, raw); expected != "" {
		return []Problem{{Key: known.key, Value: show(raw), Expected: expected}}
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
