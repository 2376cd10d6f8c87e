package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/pflag"
	"go.yaml.in/yaml/v3"

	"github.com/decklever/decklever/api"
)

const goodScheduler = `
name: s1
zone: z1
listen: 127.0.0.1:7100
seeds: [127.0.0.1:7100]
data_dir: d
`

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func settingsFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	writeFile(t, path, content)
	return path
}

func parsedFlags[T any](t *testing.T, arguments ...string) *pflag.FlagSet {
	t.Helper()
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	BindFlags[T](flags)
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	return flags
}

func TestLoad_FlagsOverrideFileAndDefaults(t *testing.T) {
	path := settingsFile(t, goodScheduler+"timing: {tick: 40ms, lease: 300ms}\nlog:\n")
	flags := parsedFlags[Scheduler](t, "--settings", path, "--timing.tick=30ms", "--seeds=127.0.0.1:1,127.0.0.2:2", "--snapshot_every=7", "--may_form=false")
	got, err := Load[Scheduler](LoadOptions{Flags: flags})
	if err != nil {
		t.Fatal(err)
	}
	want := Scheduler{
		Common: Common{
			Name: "s1", Zone: "z1", Listen: "127.0.0.1:7100",
			Seeds:       []string{"127.0.0.1:1", "127.0.0.2:2"},
			StopTimeout: api.Duration(2 * time.Second),
			Log:         Log{Level: "info", Format: "text"},
		},
		DataDir: "d",
		Timing: SchedulerTiming{
			Tick:               api.Duration(30 * time.Millisecond),
			Lease:              api.Duration(300 * time.Millisecond),
			ElectionTimeoutMin: api.Duration(500 * time.Millisecond),
			ElectionTimeoutMax: api.Duration(time.Second),
		},
		SnapshotEvery:     7,
		ArchiveMaxBytes:   24 << 20,
		MayForm:           false,
		ToleratedFailures: 2,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("settings differ (-want +got):\n%s", diff)
	}
	if got.AdvertisedAddress() != "127.0.0.1:7100" {
		t.Fatalf("Reach: got %q, want the listen address 127.0.0.1:7100", got.AdvertisedAddress())
	}
}

func TestLoad_WorkerFromFlagsOnly(t *testing.T) {
	flags := parsedFlags[Worker](t, "--name=w", "--agent=http://127.0.0.1:7300", "--labels=disk=ssd,rack.row=4", "--capacity.accelerators=2", "--services=sleep")
	got, err := Load[Worker](LoadOptions{Flags: flags})
	if err != nil {
		t.Fatal(err)
	}
	want := Worker{
		Name: "w", Agent: "http://127.0.0.1:7300",
		Capacity: api.Resources{CPUMillis: 1000, MemoryMB: 1024, Accelerators: 2},
		Services: []string{"sleep"},
		Labels:   map[string]string{"disk": "ssd", "rack.row": "4"},
		Log:      Log{Level: "info", Format: "text"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("settings differ (-want +got):\n%s", diff)
	}
}

// A relay runs on machines without a disk, so it must start without data_dir; any other
// scheduler must not.
func TestLoad_RelayNeedsNoDataDir(t *testing.T) {
	const common = "name: s\nzone: z\nlisten: 127.0.0.1:7100\nseeds: [127.0.0.1:7100]\n"
	got, err := Load[Scheduler](LoadOptions{Path: settingsFile(t, common+"relay: true\n")})
	if err != nil || !got.Relay || got.DataDir != "" {
		t.Fatalf("got relay %v, data_dir %q, error %v, want a relay without data_dir", got.Relay, got.DataDir, err)
	}
	_, err = Load[Scheduler](LoadOptions{Path: settingsFile(t, common+"relay: false\n")})
	wantError(t, err, `data_dir "": expected a folder`)
}

func TestLoad_InvalidSchedulerSettings(t *testing.T) {
	for name, test := range map[string]struct{ content, want string }{
		"empty": {
			"",
			`name "": expected 1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'; ` +
				`zone "": expected 1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'; ` +
				`listen "": expected an IP address and port, such as 127.0.0.1:7100; ` +
				`seeds "": expected one or more different IP:port of schedulers; ` +
				`data_dir "": expected a folder`,
		},
		"unknown keys": {
			goodScheduler + "colour: red\ntiming: {tock: 1}\n",
			`colour "red": expected a known key; timing.tock "1": expected a known key`,
		},
		"unknown section":     {goodScheduler + "front: {deadline: 1s}\n", `front "deadline=1s": expected a known key`},
		"value for a section": {goodScheduler + "timing: 5\n", `timing "5": expected a section of keys`},
		"section for a value": {
			"name: {a: b}\nzone: z\nlisten: 127.0.0.1:1\nseeds: [127.0.0.1:1]\ndata_dir: d\n",
			`name "a=b": expected text, in quotes if it looks like a number`,
		},
		"every wrong key at once": {
			"name: a b\nzone: 7\nlisten: localhost:7100\nseeds: 127.0.0.1:1\ndata_dir: d\nsnapshot_every: 0\nlog: {level: loud}\n",
			`seeds "127.0.0.1:1": expected a list of text; ` +
				`zone "7": expected text, in quotes if it looks like a number; ` +
				`name "a b": expected 1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'; ` +
				`listen "localhost:7100": expected an IP address and port, such as 127.0.0.1:7100; ` +
				`log.level "loud": expected debug, info, warn or error; ` +
				`snapshot_every "0": expected a whole number, at least 1`,
		},
		"seed twice":          {strings.Replace(goodScheduler, "[127.0.0.1:7100]", "[127.0.0.1:1, 127.0.0.1:1]", 1), `seeds "127.0.0.1:1,127.0.0.1:1": expected one or more different IP:port of schedulers`},
		"port 0":              {strings.Replace(goodScheduler, "listen: 127.0.0.1:7100", "listen: 127.0.0.1:0", 1), `listen "127.0.0.1:0": expected an IP address and port, such as 127.0.0.1:7100`},
		"advertise missing":   {strings.Replace(goodScheduler, "listen: 127.0.0.1:7100", "listen: 0.0.0.0:7100", 1), `advertise "": expected an IP address and port that others can reach, as listen is 0.0.0.0:7100`},
		"advertise 0.0.0.0":   {goodScheduler + "advertise: 0.0.0.0:7100\n", `advertise "0.0.0.0:7100": expected an IP address and port that others can reach, such as 127.0.0.1:7100`},
		"source 0.0.0.0":      {goodScheduler + "source: 0.0.0.0\n", `source "0.0.0.0": expected an IP address of this machine, such as 127.0.0.1`},
		"number as duration":  {goodScheduler + "timing: {tick: 50}\n", `timing.tick "50": expected a duration such as "200ms"`},
		"invalid duration":    {goodScheduler + "timing: {tick: soon}\n", `timing.tick "soon": expected a duration such as "200ms"`},
		"duration 0":          {goodScheduler + "timing: {tick: 0s}\n", `timing.tick "0s": expected a duration over 0, such as "50ms"`},
		"invalid boolean":     {goodScheduler + "may_form: perhaps\n", `may_form "perhaps": expected true or false`},
		"negative number":     {goodScheduler + "snapshot_every: -1\n", `snapshot_every "-1": expected a whole number, 0 or more`},
		"connections below 0": {goodScheduler + "max_connections: -1\n", `max_connections "-1": expected a whole number, 0 or more`},
		"processors below 0":  {goodScheduler + "processors: -1\n", `processors "-1": expected a whole number, 0 to 256`},
		"too many processors": {goodScheduler + "processors: 257\n", `processors "257": expected a whole number, 0 to 256`},
		"unknown mechanism":   {goodScheduler + "experiment: {off: [lease]}\n", `experiment.off "lease": expected different names of mechanisms, such as "headroom" (docs/notes/ablation.md lists them)`},
		"mechanism twice":     {goodScheduler + "experiment: {off: [yields, yields]}\n", `experiment.off "yields,yields": expected different names of mechanisms, such as "headroom" (docs/notes/ablation.md lists them)`},
		"tick":                {goodScheduler + "timing: {tick: 400ms}\n", `timing.tick "400ms": expected less than timing.lease, which is 400ms`},
		"lease":               {goodScheduler + "timing: {lease: 500ms}\n", `timing.lease "500ms": expected less than timing.election_timeout_min, which is 500ms`},
		"election":            {goodScheduler + "timing: {election_timeout_max: 499ms}\n", `timing.election_timeout_min "500ms": expected at most timing.election_timeout_max, which is 499ms`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Load[Scheduler](LoadOptions{Path: settingsFile(t, test.content)})
			if err == nil || err.Error() != test.want {
				t.Fatalf("got:\n%v\nwant:\n%s", err, test.want)
			}
			if !errors.Is(err, ErrUsage) {
				t.Fatal("errors.Is(err, ErrUsage): got false, want true")
			}
		})
	}
}

func TestLoad_InvalidSettingsOfOtherPrograms(t *testing.T) {
	common := "name: n\nzone: z\nlisten: 127.0.0.1:1\nseeds: [127.0.0.1:2]\n"
	_, err := Load[Front](LoadOptions{Path: settingsFile(t, common+"deadline: -1s\nmax_inflight: 1.5\n")})
	wantError(t, err, `max_inflight "1.5": expected a whole number; deadline "-1s": expected a duration over 0, such as "3s"`)
	_, err = Load[Agent](LoadOptions{Path: settingsFile(t, common+"relay_timeout: 0s\n")})
	wantError(t, err, `relay_timeout "0s": expected a duration over 0, such as "1s"`)
	_, err = Load[Worker](LoadOptions{Path: settingsFile(t, "name: w\nagent: 127.0.0.1:7300\ncapacity: {cpu_millis: -1}\nservices: []\nlabels: {a: 1}\n")})
	wantError(t, err, `labels "a=1": expected a section of text values; `+
		`agent "127.0.0.1:7300": expected a URL such as http://127.0.0.1:7300; `+
		`capacity.cpu_millis "-1": expected a whole number, 0 or more; `+
		`services "": expected one or more different names of handlers`)
	_, err = Load[Worker](LoadOptions{Flags: parsedFlags[Worker](t, "--name=w", "--agent=http://127.0.0.1:1", "--labels=a", "--capacity.memory_mb=much")})
	wantError(t, err, `capacity.memory_mb "much": expected a whole number; labels "a": expected KEY=VALUE separated by commas`)
}

func wantError(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}

func TestLoad_UnreadableFile(t *testing.T) {
	for name, path := range map[string]string{
		"missing":   filepath.Join(t.TempDir(), "none.yaml"),
		"broken":    settingsFile(t, "name: [\nzone: z"),
		"key twice": settingsFile(t, "name: a\nname: b\n"),
		"no map":    settingsFile(t, "- a\n- b\n"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Load[Agent](LoadOptions{Path: path})
			if !errors.Is(err, ErrUsage) || !strings.HasPrefix(err.Error(), "settings ") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got error %v, want one line about the file that wraps ErrUsage", err)
			}
		})
	}
}

// Each file in examples/ must load, and must contain every key of its program.
func TestLoad_ExamplesAreComplete(t *testing.T) {
	testExample[Scheduler](t, "scheduler.yaml")
	testExample[Front](t, "front.yaml")
	testExample[Agent](t, "agent.yaml")
	testExample[Worker](t, "worker.yaml")
}

func testExample[T any](t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("..", "..", "examples", name)
	value, err := Load[T](LoadOptions{Path: path})
	if err != nil {
		t.Errorf("%s: %v", name, err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var given map[string]any
	if err := yaml.Unmarshal(content, &given); err != nil {
		t.Fatal(err)
	}
	for _, setting := range settingsOf(&value) {
		if !hasKey(given, strings.Split(setting.key, ".")) {
			t.Errorf("%s: key %s missing, want every key", name, setting.key)
		}
	}
}

func hasKey(section map[string]any, path []string) bool {
	value, ok := section[path[0]]
	if !ok || len(path) == 1 {
		return ok
	}
	inner, ok := value.(map[string]any)
	return ok && hasKey(inner, path[1:])
}
