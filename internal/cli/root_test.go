package cli

import "testing"

func TestCommands_HaveHelpAndExample(t *testing.T) {
	a := newApp(Config{})
	commands := a.rootCommand().Commands()
	for len(commands) > 0 {
		command := commands[0]
		commands = append(commands[1:], command.Commands()...)
		if command.Short == "" || command.Example == "" {
			t.Errorf("%s: got no short help or no example, want both", command.CommandPath())
		}
	}
}
