package programs

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/compatibility/golden"
)

// commandsHeading precedes the list of subcommands in a help text.
const commandsHeading = "Available Commands:\n"

// TestHelp_PrintedAsBefore compares the help texts: commands, flags, defaults and
// settings keys.
func TestHelp_PrintedAsBefore(t *testing.T) {
	var text strings.Builder
	for _, program := range slices.Sorted(maps.Keys(programPackages)) {
		writeHelp(t, &text, program, nil)
	}
	golden.CompareText(t, "testdata/help.txt", text.String())
}

// writeHelp writes the help of a command and of all its subcommands.
func writeHelp(t *testing.T, text *strings.Builder, program string, command []string) {
	t.Helper()
	help := invocation{program: program, arguments: append(slices.Clone(command), "--help")}
	text.WriteString(help.section(t))
	for _, name := range subcommands(help.run(t).stdout) {
		writeHelp(t, text, program, append(slices.Clone(command), name))
	}
}

// subcommands returns the names of the subcommands that a help text lists.
func subcommands(help string) []string {
	_, list, found := strings.Cut(help, commandsHeading)
	if !found {
		return nil
	}
	list, _, _ = strings.Cut(list, "\n\n")
	var names []string
	for line := range strings.Lines(list) {
		// cobra generates help and completion; their texts depend on its release.
		name := strings.Fields(line)[0]
		if name != "help" && name != "completion" {
			names = append(names, name)
		}
	}
	return names
}
