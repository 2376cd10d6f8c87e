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
			t.Errorf("%s: got exit code %d and a script of %d bytes, want exit code 0 and a script for decklever", shell, got.code, len(got.out))
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
	for words, want := range cases {
		t.Run(words, func(t *testing.T) {
			got := runCommand(t, newFakeFront(t, fleetReplies()), "", append([]string{"__complete"}, strings.Split(words, " ")...)...)
			assertText(t, words, got.out, want)
		})
	}
	failing := newFakeFront(t, map[string][]reply{"GET /v1/jobs": {refusalReply(500, api.CodeInternal)}})
	got := runCommand(t, failing, "", "__complete", "job", "status", "")
	assertText(t, "suggestions after a failed request", got.out, ":4\n")
}
