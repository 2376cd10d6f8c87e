package cli

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestJobCancel_SendsManyJobsInOneRequest(t *testing.T) {
	const route = "POST /v1/cancellations"
	cases := []struct{ arguments, body, out string }{
		{"job cancel i j k", `{"jobs":["i","j","k"]}`, "2 of 3 jobs cancelled\nthe others are not known, had ended or were cancelled before\n"},
		{"job cancel i j", `{"jobs":["i","j"]}`, "2 of 2 jobs cancelled\n"},
		{"job cancel --queue q --yes", `{"queue":"q","submitted_until":"2026-01-31T14:00:00Z"}`, "2 jobs of queue q cancelled\n"},
		{"job cancel --queue q --yes -o json", `{"queue":"q","submitted_until":"2026-01-31T14:00:00Z"}`, jsonOf(api.CancelAnswer{Cancelled: 2})},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			asOf := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
			front := newFakeFront(t, map[string][]reply{
				route:            {okReply(api.CancelAnswer{Cancelled: 2})},
				"GET /v1/queues": {okReply(api.QueueList{AsOf: &asOf})},
			})
			got := runCommand(t, front, "", strings.Fields(c.arguments)...)
			assertText(t, c.arguments, got.out+got.err, c.out)
			if sent := front.requestsTo(route); got.code != ExitOK || len(sent) != 1 || sent[0].body != c.body {
				t.Errorf("%s: got exit code %d and requests %+v, want exit code 0 and one request with the jobs or queue", c.arguments, got.code, sent)
			}
		})
	}
	ids := make([]string, api.MaxCancelledJobs+1)
	for index := range ids {
		ids[index] = fmt.Sprintf("j%d", index)
	}
	front := newFakeFront(t, map[string][]reply{route: {okReply(api.CancelAnswer{Cancelled: api.MaxCancelledJobs}), okReply(api.CancelAnswer{Cancelled: 1})}})
	got := runCommand(t, front, "", slices.Concat([]string{"job", "cancel"}, ids)...)
	assertText(t, "more ids than one request may have", got.out, "10001 of 10001 jobs cancelled\n")
	if sent := front.requestsTo(route); len(sent) != 2 || sent[1].body != `{"jobs":["j10000"]}` {
		t.Errorf("got %d requests, want 2, the second with the last job only", len(sent))
	}
	single := newFakeFront(t, map[string][]reply{"POST /v1/jobs/j/cancel": {okReply(sampleStatus("cancelled"))}})
	assertText(t, "one job", runCommand(t, single, "", "job", "cancel", "j").out, "ID  QUEUE  STATE      ENDED\nj   q      cancelled  -\n")
}
