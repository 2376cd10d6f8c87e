package programs

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/compatibility/golden"
)

// badSettings are settings files that every daemon rejects. The keys name the fault.
var badSettings = map[string]string{
	"empty":        "",
	"no-mapping":   "- a\n- b\n",
	"not-yaml":     "name: [\n",
	"unknown-keys": "name: a1\nzone: z1\nlisten: 127.0.0.1:0\nseedz: [127.0.0.1:1]\nlog: {colour: red}\n",
	"wrong-types":  "name: {a: b}\nzone: [z1]\nlisten: 5\nseeds: 127.0.0.1\ntiming: fast\nlog: {level: 3}\n",
	"wrong-values": "name: 'a b'\nzone: 'z 1'\nlisten: nowhere\nadvertise: 0.0.0.0:1\nsource: x\nseeds: [a, a]\ndata_dir: ''\n" +
		"timing: {tick: 0s, election_timeout_min: 1s, election_timeout_max: 500ms, lease: 2s}\nsnapshot_every: 0\narchive_max_bytes: 1\n" +
		"log: {level: loud}\ncapacity: {cpu_millis: -1}\nservices: ['']\n",
	"wrong-units": "name: a1\nzone: z1\nlisten: 127.0.0.1:0\nseeds: [127.0.0.1:1]\ntiming: {tick: 50}\ndrain_timeout: 5\n",
}

// daemons are the programs that read the settings file named by --settings.
var daemons = []string{"decklever-agent", "decklever-front", "decklever-scheduler", "decklever-worker"}

// roles are the subcommands of decklever-platform. The environment variable
// DECKLEVER_BOOT names their settings file.
var roles = []string{"agent", "front", "scheduler"}

func TestSettings_RefusedAsBefore(t *testing.T) {
	folder := t.TempDir()
	for name, content := range badSettings {
		if err := os.WriteFile(filepath.Join(folder, name+".yaml"), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var text strings.Builder
	for _, name := range append(slices.Sorted(maps.Keys(badSettings)), "missing") {
		file := name + ".yaml"
		for _, program := range daemons {
			text.WriteString(invocation{program: program, arguments: []string{"--settings", file}, folder: folder}.section(t))
		}
		for _, role := range roles {
			text.WriteString(invocation{
				program: "decklever-platform", arguments: []string{role}, folder: folder,
				environment: []string{"DECKLEVER_BOOT=" + file},
			}.section(t))
		}
	}
	golden.CompareText(t, "testdata/settings.txt", text.String())
}

func TestUsage_RefusedAsBefore(t *testing.T) {
	folder := t.TempDir()
	var text strings.Builder
	for _, program := range daemons {
		for _, arguments := range [][]string{
			{}, {"more"}, {"--no-such-flag"}, {"--name"}, {"--name=a b", "--seeds=,", "--log.level=loud", "--timing.tick=x"},
		} {
			text.WriteString(invocation{program: program, arguments: arguments, folder: folder}.section(t))
		}
	}
	for _, arguments := range [][]string{{}, {"nothing"}, {"agent", "more"}, {"front", "--no-such-flag"}, {"scheduler"}} {
		text.WriteString(invocation{program: "decklever-platform", arguments: arguments, folder: folder}.section(t))
	}
	for _, command := range []string{
		"jobs", "job", "job stat", "job status", "job status a b", "job status j --wait x", "job list --limit 0", "job submit", "job submit missing.yaml",
		"job cancel", "job cancel --queue q", "job cancel j --queue q", "config apply", "config apply missing.yaml", "config validate missing.yaml",
		"worker drain", "zone evacuate", "queue show", "booking show q", "booking release q/b", "booking release q/b --start soon",
		"status -o xml", "status --timeout 0s", "status --front ftp://x", "completion", "completion fish shell",
	} {
		text.WriteString(invocation{program: "decklever", arguments: strings.Fields(command), folder: folder}.section(t))
	}
	golden.CompareText(t, "testdata/usage.txt", text.String())
}
