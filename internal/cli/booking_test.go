package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

const bookingHeader = "BOOKING    START                 END                   HELD FROM             STATE     SLOTS  PLACED  USED  SLICE            SERVICE  BEST EFFORT\n"

func TestBookingList_PrintsWindowsByStart(t *testing.T) {
	front := newFakeFront(t, fleetReplies())
	got := runCommand(t, front, "", "booking", "list", "--hours", "48")
	assertText(t, "output", got.out+got.err, bookingHeader+
		"q/opening  2026-01-31T12:30:00Z  2026-01-31T14:30:00Z  2026-01-31T12:00:00Z  open      4      4       3     1000m cpu, 4 MB  -        no\n"+
		"r/nightly  2026-01-31T13:30:00Z  2026-01-31T15:30:00Z  2026-01-31T13:00:00Z  released  4      4       0     1000m cpu, 4 MB  -        no\n"+
		"q/closing  2026-01-31T16:30:00Z  2026-01-31T18:30:00Z  2026-01-31T16:00:00Z  held      4      3       0     1000m cpu, 4 MB  -        no\n"+
		"q/opening  2026-02-01T00:30:00Z  2026-02-01T02:30:00Z  2026-02-01T00:00:00Z  planned   4      0       0     1000m cpu, 4 MB  -        no\n")
	assertText(t, "query", front.requestsTo("GET /v1/bookings")[0].query, "hours=48")
}

func TestBookingShow_PrintsWindowsAndWorkers(t *testing.T) {
	got := runCommand(t, newFakeFront(t, fleetReplies()), "", "booking", "show", "q/opening")
	assertText(t, "output", got.out+got.err, strings.Replace(bookingHeader, "STATE     SLOTS", "STATE    SLOTS", 1)+
		"q/opening  2026-01-31T12:30:00Z  2026-01-31T14:30:00Z  2026-01-31T12:00:00Z  open     4      4       3     1000m cpu, 4 MB  -        no\n"+
		"q/opening  2026-02-01T00:30:00Z  2026-02-01T02:30:00Z  2026-02-01T00:00:00Z  planned  4      0       0     1000m cpu, 4 MB  -        no\n"+
		"\nSTART                 WORKER  SLOTS  USED\n2026-01-31T12:30:00Z  w1      4      3\n")
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{okReply(api.ConfigStatus{Config: api.Config{Queues: []api.QueueConfig{{Name: "q", Bookings: []api.BookingConfig{{Name: "b"}}}}}})}
	got = runCommand(t, newFakeFront(t, replies), "", "booking", "show", "q/b", "-o", "json")
	assertText(t, "without a window", got.out, jsonOf(api.BookingList{Bookings: []api.BookingStatus{}}))
	assertText(t, "notice", got.err, "booking q/b has no window in the coming 24 hours\n")
}

func TestBookingRelease_RepeatsTheSameRequestAfterLostAnswer(t *testing.T) {
	const route = "POST /v1/bookings/release"
	front := newFakeFront(t, map[string][]reply{route: {{dropConnection: true}, okReply(api.ReleaseAnswer{Released: true})}})
	got := runCommand(t, front, "", "booking", "release", "q/opening", "--start", "2026-01-31T13:30:00+01:00")
	assertText(t, "output", got.out+got.err, "booking q/opening: the window at 2026-01-31T12:30:00Z is released\n")
	sent := front.requestsTo(route)
	if len(sent) != 2 || sent[0].body != sent[1].body {
		t.Fatalf("got requests %+v, want the same request twice", sent)
	}
	assertText(t, "body", sent[0].body, `{"queue":"q","booking":"opening","start":"2026-01-31T13:30:00+01:00"}`)
}
