package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

// The page is generated and must match the settings. To regenerate it:
//
//	go test ./internal/settings -run TestReferencePage -update
func TestReferencePage(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if *update {
		if err := os.WriteFile(path, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(string(page), Reference()); difference != "" {
		t.Errorf("docs/SETTINGS.md is out of date (go test ./internal/settings -run TestReferencePage -update):\n%s", difference)
	}
}

func TestReference_ListsDefaultsRulesAndEffect(t *testing.T) {
	page := Reference()
	for _, row := range []string{
		"| `name`, `--name` | required | name of this process, unique in the fleet (required) | 1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.' | restart |",
		"| `seeds`, `--seeds` | required | IP:port of schedulers, separated by commas (required) | one or more different IP:port of schedulers | live |",
		"| `timing.tick`, `--timing.tick` | `50ms` | pause between two steps of the log's timers | a duration over 0, such as \"50ms\" | restart |",
		"| `capacity.accelerators`, `--capacity.accelerators` | `0` | room for tasks | a whole number, 0 or more | restart |",
		"| `test.wall_clock_offset`, `--test.wall_clock_offset` | `0s` | for trials: added to the wall clock that this process reads | a duration such as \"200ms\" | live |",
	} {
		if !strings.Contains(page, row+"\n") {
			t.Errorf("row missing in the reference, want\n%s", row)
		}
	}
}
