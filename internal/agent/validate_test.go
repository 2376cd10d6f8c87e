package agent

import (
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestValidate_ProgressAndCheckpoints(t *testing.T) {
	run := api.RunRef{Task: "j/s/0/3", Run: 2}
	other := api.RunRef{Task: "j/s/1", Run: 1}
	largest := strings.Repeat("x", api.MaxCheckpointBytes)
	cases := []struct {
		name     string
		progress []api.RunProgress
		ended    string
		want     []string
	}{
		{"no progress", nil, "", nil},
		{"highest values", []api.RunProgress{{RunRef: run, Percent: 100, Checkpoint: largest}}, largest, nil},
		{"percent", []api.RunProgress{{RunRef: run, Percent: 101}}, "", []string{"progress[0].percent"}},
		{"negative percent", []api.RunProgress{{RunRef: run, Percent: -1}}, "", []string{"progress[0].percent"}},
		{"checkpoint", []api.RunProgress{{RunRef: run, Checkpoint: largest + "x"}}, "", []string{"progress[0].checkpoint"}},
		{"run that is not running", []api.RunProgress{{RunRef: run}, {RunRef: other}}, "", []string{"progress[1]"}},
		{"run named twice", []api.RunProgress{{RunRef: run}, {RunRef: run}}, "", []string{"progress[1]"}},
		{"checkpoint of an ended run", nil, largest + "x", []string{"ended[0].checkpoint"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			heartbeat := api.Heartbeat{
				WorkerID: "id", Name: "w", Seq: 1, Running: []api.RunRef{run}, Progress: c.progress,
				Ended: []api.EndedRun{{RunRef: other, Outcome: api.OutcomeSucceeded, Checkpoint: c.ended}},
			}
			var got []string
			for _, field := range validateHeartbeat(heartbeat) {
				got = append(got, field.Field)
			}
			if !slices.Equal(got, c.want) {
				t.Fatalf("got invalid fields %v, want %v", got, c.want)
			}
		})
	}
}
