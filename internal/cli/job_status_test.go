package cli

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// TestJobStatus_RepeatingJobMatchesPage holds the page to the table, too.
func TestJobStatus_RepeatingJobMatchesPage(t *testing.T) {
	submitted := time.Date(2026, 12, 2, 4, 47, 43, 0, time.UTC)
	next := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	task := api.TaskStatus{Task: "hourly/swap/0/2", State: api.StateRunning, Run: 1, Worker: "w1"}
	status := api.JobStatus{
		ID: "hourly", Queue: "swaps", State: api.StateRunning, SubmittedAt: submitted,
		Occurrences: &api.OccurrenceStatus{Times: 24, Open: 1, Succeeded: 2, NextDue: &next},
		Steps:       []api.StepStatus{{Name: "swap", Occurrence: 2, State: api.StateRunning, Tasks: []api.TaskStatus{task}}},
	}
	replies := fleetReplies()
	replies["GET /v1/jobs/hourly"] = []reply{ok(status)}
	got := runCommand(t, newFakeFront(t, replies), "", "job", "status", "hourly")
	if got.code != ExitOK || !strings.Contains(got.out, "OCCURRENCES") {
		t.Fatalf("exit code %d: %s%s", got.code, got.out, got.err)
	}
	page, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "$ decklever job status hourly\n"+got.out) {
		t.Errorf("docs/CLI.md has another output than\n%s", got.out)
	}
}
