package cli

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// TestJobStatus_RepeatingJobMatchesCLIDocs guards against an example in
// docs/CLI.md that no longer shows the output for a repeating job.
func TestJobStatus_RepeatingJobMatchesCLIDocs(t *testing.T) {
	submitted := time.Date(2026, 12, 2, 4, 47, 43, 0, time.UTC)
	nextDue := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	task := api.TaskStatus{Task: "hourly/swap/0/2", State: api.StateRunning, Run: 1, Worker: "w1"}
	status := api.JobStatus{
		ID: "hourly", Queue: "swaps", State: api.StateRunning, SubmittedAt: submitted,
		Occurrences: &api.OccurrenceStatus{Times: 24, Open: 1, Succeeded: 2, NextDue: &nextDue},
		Steps:       []api.StepStatus{{Name: "swap", Occurrence: 2, State: api.StateRunning, Tasks: []api.TaskStatus{task}}},
	}
	replies := fleetReplies()
	replies["GET /v1/jobs/hourly"] = []reply{okReply(status)}
	got := runCommand(t, newFakeFront(t, replies), "", "job", "status", "hourly")
	if got.code != ExitOK || !strings.Contains(got.out, "OCCURRENCES") {
		t.Fatalf("got exit code %d, want 0 and a table of occurrences: %s%s", got.code, got.out, got.err)
	}
	page, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "$ decklever job status hourly\n"+got.out) {
		t.Errorf("docs/CLI.md does not contain the command with its output, want\n%s", got.out)
	}
}
