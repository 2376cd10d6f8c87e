package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

func TestExecute_ExitCodes(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		result    error
		code      int
		stderr    string
	}{
		"ok":             {nil, nil, ExitOK, ""},
		"failure":        {nil, errors.New("disk full"), ExitFailure, "program: disk full\n"},
		"two failures":   {nil, errors.Join(errors.New("save"), errors.New("close")), ExitFailure, "program: save; close\n"},
		"wrong settings": {nil, fmt.Errorf("name: %w", ErrUsage), ExitUsage, "program: name: wrong settings or usage\n"},
		"unknown flag":   {[]string{"--colour"}, nil, ExitUsage, "program: unknown flag: --colour\n"},
		"argument":       {[]string{"extra"}, nil, ExitUsage, "program: unknown command \"extra\" for \"program\"\n"},
	} {
		t.Run(name, func(t *testing.T) {
			command := &cobra.Command{
				Use: "program", Args: cobra.NoArgs,
				RunE: func(*cobra.Command, []string) error { return test.result },
			}
			command.SetArgs(append([]string{}, test.arguments...))
			var stderr bytes.Buffer
			if code := Execute(t.Context(), command, &stderr); code != test.code {
				t.Errorf("got exit code %d, want %d", code, test.code)
			}
			if stderr.String() != test.stderr || strings.Count(stderr.String(), "\n") > 1 {
				t.Errorf("got stderr %q, want %q", stderr.String(), test.stderr)
			}
		})
	}
}
