package settings

import (
	"fmt"
	"reflect"
	"strings"
)

const referenceHead = `# Settings

Each program reads one YAML file, named by ` + "`--settings`" + `, and flags. A flag that is
given overrides the file; the file overrides the defaults. This page is made
from ` + "`internal/settings/types.go`" + `; ` + "`examples/`" + ` holds a file for each program.

- A section is a nested map in the file: ` + "`log.level`" + ` is ` + "`level`" + ` below ` + "`log`" + `. The flag
  has the key's full name: ` + "`--log.level`" + `.
- Durations are text with a unit, such as ` + "`200ms`" + `. Lists in flags are separated
  by commas, and maps are ` + "`KEY=VALUE`" + ` separated by commas.
- A wrong or unknown key ends the program with exit code 2 before it listens;
  all wrong keys stand on one line of standard error.
- The file is looked at while the program runs, and read at once on SIGHUP. A
  key marked "live" takes effect without a restart. Others are named in a
  warning and wait for a restart. A wrong file changes nothing and is reported
  in the log.
`

const schedulerRules = `
Rule across keys: ` + "`timing.tick < timing.lease < timing.election_timeout_min <= timing.election_timeout_max`" + `.
`

const listenRule = `
Rule across keys: ` + "`advertise`" + ` is required if ` + "`listen`" + ` is ` + "`0.0.0.0`" + ` or ` + "`[::]`" + `.
`

// Reference returns the content of docs/SETTINGS.md: every key of every program, in Markdown.
func Reference() string {
	var page strings.Builder
	page.WriteString(referenceHead)
	describe[Scheduler](&page, "decklever-scheduler", listenRule+schedulerRules)
	describe[Front](&page, "decklever-front", listenRule)
	describe[Agent](&page, "decklever-agent", listenRule)
	describe[Worker](&page, "decklever-worker", "")
	return page.String()
}

// describe writes the section of one program: a table of its keys, then its rules across keys.
func describe[T any](page *strings.Builder, program, rules string) {
	fmt.Fprintf(page, "\n## %s\n\n", program)
	page.WriteString("| key and flag | default | meaning | rule | change takes effect |\n|---|---|---|---|---|\n")
	value := defaultsOf[T]()
	for _, setting := range settingsOf(&value) {
		fmt.Fprintf(page, "| `%s`, `--%s` | %s | %s | %s | %s |\n", setting.key, setting.key,
			defaultText(setting), escapeCell(setting.usage), escapeCell(ruleText(setting)), effectText(setting))
	}
	page.WriteString(rules)
}

// defaultText returns the table cell for a key's default: the value, "required" if the key has
// none and its rule rejects the zero value, or "none".
func defaultText(known setting) string {
	if !known.value.IsZero() {
		return "`" + formatValue(known.value.Interface()) + "`"
	}
	switch {
	case isRequired(known):
		return "required"
	case known.value.Type() == durationType:
		return "`0s`"
	case known.value.CanInt():
		return "`0`"
	case known.value.Kind() == reflect.Bool:
		return "`false`"
	default:
		return "none"
	}
}

// isRequired reports whether the key's default breaks its rule.
func isRequired(known setting) bool {
	return known.validate != "" && newRules().Var(known.value.Interface(), known.validate) != nil
}

func ruleText(known setting) string {
	switch {
	case known.expected != "":
		return known.expected
	case known.value.Type() == durationType:
		return `a duration such as "200ms"`
	default:
		return "any"
	}
}

func effectText(known setting) string {
	if known.live {
		return "live"
	}
	return "restart"
}

// escapeCell escapes the pipes in a text, which would end its table cell.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
