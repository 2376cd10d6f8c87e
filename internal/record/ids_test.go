package record

import (
	"strconv"
	"testing"
)

func TestParseTaskID_RoundTrip(t *testing.T) {
	for _, id := range []TaskID{
		{Job: "j", Step: "s"},
		{Job: "job-1", Step: "step", Index: 12},
		{Job: "j", Step: "s", Index: 3, Occurrence: 7},
	} {
		t.Run(id.String(), func(t *testing.T) {
			if got, ok := ParseTaskID(id.String()); !ok || got != id {
				t.Errorf("ParseTaskID(%s): got %+v, %v, want the same id, true", id, got, ok)
			}
		})
	}
}

func TestParseTaskID_RejectsMalformedText(t *testing.T) {
	for _, text := range []string{"", "j", "j/s", "j/s/", "j/s/x", "j/s/-1", "j/s/1/", "j/s/1/0", "j/s/1/-2", "j/s/1/x", "j/s/1/2/", "j/s/1/2/3"} {
		t.Run(strconv.Quote(text), func(t *testing.T) {
			if id, ok := ParseTaskID(text); ok {
				t.Errorf("ParseTaskID(%q): got %+v, true, want false", text, id)
			}
		})
	}
}

// TestParseTaskID_DoesNotAllocate guards against allocations in ParseTaskID, which
// the leader calls for each run in each heartbeat.
func TestParseTaskID_DoesNotAllocate(t *testing.T) {
	const runs = 100
	allocations := testing.AllocsPerRun(runs, func() {
		if _, ok := ParseTaskID("job-1/step/12/3"); !ok {
			t.Error("ParseTaskID: got false, want true")
		}
	})
	if allocations != 0 {
		t.Errorf("got %v allocations per call, want 0", allocations)
	}
}
