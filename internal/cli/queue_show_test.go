package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestQueueShow_PrintsBookingsAndOldestWaitingJobs(t *testing.T) {
	older := api.JobSummary{ID: "old", Queue: "q", State: api.StatePending, SubmittedAt: testNow}
	newer := api.JobSummary{ID: "new", Queue: "q", State: api.StatePending, SubmittedAt: submittedTime}
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{okReply(api.ConfigStatus{Config: api.Config{Queues: []api.QueueConfig{{Name: "q", Team: "a", Weight: 2, MaxRunningTasks: 9, DefaultAllowedFailures: 3}}}})}
	replies["GET /v1/jobs"] = []reply{okReply(api.JobList{Jobs: []api.JobSummary{newer}, NextPageToken: "new"}), okReply(api.JobList{Jobs: []api.JobSummary{older}})}
	tasks := []api.TaskStatus{{State: api.StatePending, Reason: "no room"}, {State: api.StateRunning}, {State: api.StatePending, Reason: "no room"}, {State: api.StatePending}}
	replies["GET /v1/jobs/old"] = []reply{okReply(api.JobStatus{ID: "old", Steps: []api.StepStatus{{Tasks: tasks}}})}
	replies["GET /v1/jobs/new"] = []reply{refusalReply(404, api.CodeNotFound)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "queue", "show", "q", "--hours", "3")
	out, rest, _ := strings.Cut(got.out, "\n\n")
	assertText(t, "queue", out, "QUEUE  TEAM  PRIORITY  WEIGHT  DEFAULT ALLOWED FAILURES  JOBS  PENDING TASKS  RUNNING TASKS\nq      a     0         2       3                         4     2              3/9")
	bookings, waiting, _ := strings.Cut(rest, "\n\n")
	if strings.Count(bookings, "\nq/") != 3 || strings.Contains(bookings, "r/nightly") {
		t.Errorf("got bookings, want 3 windows of q and none of r/nightly:\n%s", bookings)
	}
	assertText(t, "waiting", waiting+got.err, "WAITING JOB  SUBMITTED             REASONS (TASKS)\nold          2026-01-31T13:30:00Z  no room (2); - (1)\n")
	assertText(t, "query", front.requestsTo("GET /v1/jobs")[1].query, "limit=1000&page_token=new&queue=q&state=pending")
	got = runCommand(t, front, "", "queue", "show", "q", "--jobs", "0", "-o", "json")
	if !strings.Contains(got.out, `"waiting": []`) || !strings.Contains(got.out, `"max_running_tasks": 9`) {
		t.Errorf("got JSON %s, want no waiting jobs and max_running_tasks 9", got.out)
	}
}

func TestQueueShow_PrintsExpectedWait(t *testing.T) {
	show := func(status api.QueueStatus) string {
		replies := fleetReplies()
		replies["GET /v1/queues"] = []reply{okReply(api.QueueList{Queues: []api.QueueStatus{status}})}
		got := runCommand(t, newFakeFront(t, replies), "", "queue", "show", "q", "--jobs", "0")
		_, rest, _ := strings.Cut(got.out, "\n\n")
		wait, _, _ := strings.Cut(rest, "\n\n")
		return wait
	}
	assertText(t, "known", show(api.QueueStatus{Name: "q", ExpectedWaitMillis: 1234}), "a task that comes now waits 1.2s for its start")
	assertText(t, "overloaded", show(api.QueueStatus{Name: "q", ExpectedWaitMillis: 61000, Overloaded: true}),
		"a task that comes now waits 1m1s for its start\nthe queue is overloaded: that is longer than its objective leaves")
	if got := show(api.QueueStatus{Name: "q"}); strings.Contains(got, "waits") {
		t.Errorf("expected wait not known: got %q, want no wait", got)
	}
}
