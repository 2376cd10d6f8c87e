package programs

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/compatibility/golden"
)

// commandsHeading stands above the list of a command's subcommands in its help.
const commandsHeading = "Available Commands:\n"

// TestHelp_PrintedAsBefore covers commands, flags, defaults and settings keys.
func TestHelp_PrintedAsBefore(t *testing.T) {
	var text strings.Builder
	for _, program := range slices.Sorted(maps.Keys(sources)) {
		writeHelp(t, &text, program, nil)
	}
	golden.CompareText(t, "testdata/help.txt", text.String())
}

// writeHelp writes the help of a command and of all those below it.
func writeHelp(t *testing.T, text *strings.Builder, program string, command []string) {
	t.Helper()
	asked := invocation{program: program, arguments: append(slices.Clone(command), "--help")}
	text.WriteString(asked.section(t))
	for _, name := range subcommands(asked.run(t).out) {
		writeHelp(t, text, program, append(slices.Clone(command), name))
	}
}

// subcommands reads the names of subcommands from a help text.
func subcommands(help string) []string {
	_, list, found := strings.Cut(help, commandsHeading)
	if !found {
		return nil
	}
	list, _, _ = strings.Cut(list, "\n\n")
	var names []string
	for line := range strings.Lines(list) {
		// Help and completion are cobra's own and depend on its release.
		name := strings.Fields(line)[0]
		if name != "help" && name != "completion" {
			names = append(names, name)
		}
	}
	return names
}
