package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestCompletion_WritesScriptsAndSuggestsNames(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		got := runCommand(t, nil, "", "completion", shell)
		if got.code != ExitOK || !strings.Contains(got.out, "decklever") {
			t.Errorf("%s: exit code %d, %d bytes", shell, got.code, len(got.out))
		}
	}
	cases := map[string]string{
		"job status ":       "j\n:4\n",
		"job status j ":     ":4\n",
		"worker drain w1 ":  "w2\n:4\n",
		"zone evacuate ":    "z1\nz2\n:4\n",
		"job list --queue ": "q\n:4\n",
		"queue show ":       "q\n:4\n",
		"booking show ":     "q/closing\nq/opening\nr/nightly\n:4\n",

		"booking release q/opening --start ": "2026-01-31T12:30:00Z\n2026-02-01T00:30:00Z\n:4\n",
		"config apply ":                      "yaml\nyml\njson\n:8\n",
	}
	for line, want := range cases {
		t.Run(line, func(t *testing.T) {
			got := runCommand(t, newFakeFront(t, fleetReplies()), "", append([]string{"__complete"}, strings.Split(line, " ")...)...)
			assertText(t, line, got.out, want)
		})
	}
	refused := newFakeFront(t, map[string][]reply{"GET /v1/jobs": {refusal(500, api.CodeInternal)}})
	got := runCommand(t, refused, "", "__complete", "job", "status", "")
	assertText(t, "without an answer", got.out, ":4\n")
}
