package cli

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

const bookingHeader = "BOOKING    START                 END                   HELD FROM             STATE     SLOTS  PLACED  USED  SLICE            SERVICE  BEST EFFORT\n"

func TestBookingList(t *testing.T) {
	front := newFakeFront(t, fleetReplies())
	got := decklever(t, front, "", "booking", "list", "--hours", "48")
	wantText(t, "output", got.out+got.err, bookingHeader+
		"q/opening  2026-01-31T12:30:00Z  2026-01-31T14:30:00Z  2026-01-31T12:00:00Z  open      4      4       3     1000m cpu, 4 MB  -        no\n"+
		"r/nightly  2026-01-31T13:30:00Z  2026-01-31T15:30:00Z  2026-01-31T13:00:00Z  released  4      4       0     1000m cpu, 4 MB  -        no\n"+
		"q/closing  2026-01-31T16:30:00Z  2026-01-31T18:30:00Z  2026-01-31T16:00:00Z  held      4      3       0     1000m cpu, 4 MB  -        no\n"+
		"q/opening  2026-02-01T00:30:00Z  2026-02-01T02:30:00Z  2026-02-01T00:00:00Z  planned   4      0       0     1000m cpu, 4 MB  -        no\n")
	wantText(t, "query", front.got("GET /v1/bookings")[0].query, "hours=48")
}

func TestBookingShow(t *testing.T) {
	got := decklever(t, newFakeFront(t, fleetReplies()), "", "booking", "show", "q/opening")
	wantText(t, "output", got.out+got.err, strings.Replace(bookingHeader, "STATE     SLOTS", "STATE    SLOTS", 1)+
		"q/opening  2026-01-31T12:30:00Z  2026-01-31T14:30:00Z  2026-01-31T12:00:00Z  open     4      4       3     1000m cpu, 4 MB  -        no\n"+
		"q/opening  2026-02-01T00:30:00Z  2026-02-01T02:30:00Z  2026-02-01T00:00:00Z  planned  4      0       0     1000m cpu, 4 MB  -        no\n"+
		"\nSTART                 WORKER  SLOTS  USED\n2026-01-31T12:30:00Z  w1      4      3\n")
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{ok(api.ConfigStatus{Config: api.Config{Queues: []api.QueueConfig{{Name: "q", Bookings: []api.BookingConfig{{Name: "b"}}}}}})}
	got = decklever(t, newFakeFront(t, replies), "", "booking", "show", "q/b", "-o", "json")
	wantText(t, "without a window", got.out, jsonOf(api.BookingList{Bookings: []api.BookingStatus{}}))
	wantText(t, "note", got.err, "booking q/b has no window in the coming 24 hours\n")
}

func TestBookingRelease(t *testing.T) {
	const route = "POST /v1/bookings/release"
	front := newFakeFront(t, map[string][]reply{route: {{lost: true}, ok(api.ReleaseAnswer{Released: true})}})
	got := decklever(t, front, "", "booking", "release", "q/opening", "--start", "2026-01-31T13:30:00+01:00")
	wantText(t, "output", got.out+got.err, "booking q/opening: the window at 2026-01-31T12:30:00Z is released\n")
	sent := front.got(route)
	if len(sent) != 2 || sent[0].body != sent[1].body {
		t.Fatalf("sent %+v", sent)
	}
	wantText(t, "body", sent[0].body, `{"queue":"q","booking":"opening","start":"2026-01-31T13:30:00+01:00"}`)
}

func TestManyAreCancelledInOneCall(t *testing.T) {
	const route = "POST /v1/cancellations"
	cases := []struct{ arguments, body, out string }{
		{"job cancel i j k", `{"jobs":["i","j","k"]}`, "2 of 3 jobs cancelled\nthe others are not known, had ended or were cancelled before\n"},
		{"job cancel i j", `{"jobs":["i","j"]}`, "2 of 2 jobs cancelled\n"},
		{"job cancel --queue q --yes", `{"queue":"q"}`, "2 jobs of queue q cancelled\n"},
		{"job cancel --queue q --yes -o json", `{"queue":"q"}`, jsonOf(api.CancelAnswer{Cancelled: 2})},
	}
	for _, c := range cases {
		front := newFakeFront(t, map[string][]reply{route: {ok(api.CancelAnswer{Cancelled: 2})}})
		got := decklever(t, front, "", strings.Fields(c.arguments)...)
		wantText(t, c.arguments, got.out+got.err, c.out)
		if sent := front.got(route); got.code != ExitOK || len(sent) != 1 || sent[0].body != c.body {
			t.Errorf("%s: exit code %d, sent %+v", c.arguments, got.code, sent)
		}
	}
	ids := make([]string, api.MaxCancelledJobs+1)
	for number := range ids {
		ids[number] = fmt.Sprintf("j%d", number)
	}
	front := newFakeFront(t, map[string][]reply{route: {ok(api.CancelAnswer{Cancelled: api.MaxCancelledJobs}), ok(api.CancelAnswer{Cancelled: 1})}})
	got := decklever(t, front, "", slices.Concat([]string{"job", "cancel"}, ids)...)
	wantText(t, "more than one call takes", got.out, "10001 of 10001 jobs cancelled\n")
	if sent := front.got(route); len(sent) != 2 || sent[1].body != `{"jobs":["j10000"]}` {
		t.Errorf("%d calls", len(sent))
	}
	one := newFakeFront(t, map[string][]reply{"POST /v1/jobs/j/cancel": {ok(sampleStatus("cancelled"))}})
	wantText(t, "one", decklever(t, one, "", "job", "cancel", "j").out, "ID  QUEUE  STATE      ENDED\nj   q      cancelled  -\n")
}

func TestQueueShow(t *testing.T) {
	older := api.JobSummary{ID: "old", Queue: "q", State: api.StatePending, SubmittedAt: sampleNow}
	newer := api.JobSummary{ID: "new", Queue: "q", State: api.StatePending, SubmittedAt: sampleTime}
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{ok(api.ConfigStatus{Config: api.Config{Queues: []api.QueueConfig{{Name: "q", Team: "a", Weight: 2, MaxRunningTasks: 9, DefaultAllowedFailures: 3}}}})}
	replies["GET /v1/jobs"] = []reply{ok(api.JobList{Jobs: []api.JobSummary{newer}, NextPageToken: "new"}), ok(api.JobList{Jobs: []api.JobSummary{older}})}
	tasks := []api.TaskStatus{{State: api.StatePending, Reason: "no room"}, {State: api.StateRunning}, {State: api.StatePending, Reason: "no room"}, {State: api.StatePending}}
	replies["GET /v1/jobs/old"] = []reply{ok(api.JobStatus{ID: "old", Steps: []api.StepStatus{{Tasks: tasks}}})}
	replies["GET /v1/jobs/new"] = []reply{refusal(404, api.CodeNotFound)}
	front := newFakeFront(t, replies)
	got := decklever(t, front, "", "queue", "show", "q", "--hours", "3")
	out, rest, _ := strings.Cut(got.out, "\n\n")
	wantText(t, "queue", out, "QUEUE  TEAM  PRIORITY  WEIGHT  DEFAULT ALLOWED FAILURES  JOBS  PENDING TASKS  RUNNING TASKS\nq      a     0         2       3                         4     2              3/9")
	bookings, waiting, _ := strings.Cut(rest, "\n\n")
	if strings.Count(bookings, "\nq/") != 3 || strings.Contains(bookings, "r/nightly") {
		t.Errorf("bookings:\n%s", bookings)
	}
	wantText(t, "waiting", waiting+got.err, "WAITING JOB  SUBMITTED             REASONS (TASKS)\nold          2026-01-31T13:30:00Z  no room (2); - (1)\n")
	wantText(t, "query", front.got("GET /v1/jobs")[1].query, "limit=1000&page_token=new&queue=q&state=pending")
	got = decklever(t, front, "", "queue", "show", "q", "--jobs", "0", "-o", "json")
	if !strings.Contains(got.out, `"waiting": []`) || !strings.Contains(got.out, `"max_running_tasks": 9`) {
		t.Errorf("JSON %s", got.out)
	}
}

func TestQueueShowSaysHowLongNewcomersWait(t *testing.T) {
	show := func(status api.QueueStatus) string {
		replies := fleetReplies()
		replies["GET /v1/queues"] = []reply{ok(api.QueueList{Queues: []api.QueueStatus{status}})}
		got := decklever(t, newFakeFront(t, replies), "", "queue", "show", "q", "--jobs", "0")
		_, rest, _ := strings.Cut(got.out, "\n\n")
		wait, _, _ := strings.Cut(rest, "\n\n")
		return wait
	}
	wantText(t, "known", show(api.QueueStatus{Name: "q", ExpectedWaitMillis: 1234}), "a task that comes now waits 1.2s for its start")
	wantText(t, "overloaded", show(api.QueueStatus{Name: "q", ExpectedWaitMillis: 61000, Overloaded: true}),
		"a task that comes now waits 1m1s for its start\nthe queue is overloaded: that is longer than its objective leaves")
	if got := show(api.QueueStatus{Name: "q"}); strings.Contains(got, "waits") {
		t.Errorf("not known: %q", got)
	}
}

func TestWrongConfigurationNamesQueuesAndBookings(t *testing.T) {
	const file = "queues:\n  - name: q\n  - name: r\n    bookings:\n      - {name: b, duration: 1h, slots: 9, slice: {cpu_millis: 1}}\n"
	fields := []api.FieldError{
		{Field: "queues[1].bookings[0].slots", Value: "9", Expected: "at most 4, which the registered room holds"},
		{Field: "queues[0].weight", Value: "-1", Expected: "0 to 1000"},
		{Field: "queues[1].bookings[0].name", Value: "b", Expected: "x"},
		{Field: "queues[7].bookings[0].slots", Value: "", Expected: "y"},
		{Expected: "2 more wrong fields"},
	}
	const want = "  queues[1].bookings[0].slots (booking r/b) is \"9\", expected at most 4, which the registered room holds\n" +
		"  queues[0].weight (queue q) is \"-1\", expected 0 to 1000\n" +
		"  queues[1].bookings[0].name is \"b\", expected x\n" +
		"  queues[7].bookings[0].slots is \"\", expected y\n  2 more wrong fields\n"
	replies := map[string][]reply{
		"POST /v1/config/validate": {refusal(422, api.CodeInvalid, fields...)},
		putConfig:                  {refusal(422, api.CodeInvalid, fields...)},
	}
	for _, arguments := range []string{"config validate -", "config apply - --base 1"} {
		got := decklever(t, newFakeFront(t, replies), file, strings.Fields(arguments)...)
		if got.code != ExitRefused || !strings.HasSuffix(got.err, "because\n"+want) {
			t.Errorf("%s: exit code %d\n%s", arguments, got.code, got.err)
		}
	}
}
