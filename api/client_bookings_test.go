package api

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

func TestClient_BookingRequestsAndCancellation(t *testing.T) {
	var calls atomic.Int64
	var requests []string
	recordAndAnswer := func(body any) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			sent, _ := io.ReadAll(request.Body)
			requests = append(requests, request.Method+" "+request.URL.String()+" "+string(sent))
			answerWith(200, body)(writer, request)
		}
	}
	list := BookingList{Bookings: []BookingStatus{{Queue: "q"}}}
	client := newTestClient(t, newTestEndpoint(t, &calls, recordAndAnswer(list), recordAndAnswer(ReleaseAnswer{Released: true}), dropConnection, recordAndAnswer(CancelAnswer{Cancelled: 2})))
	got, err := client.Bookings(t.Context(), time.Hour+1)
	if err != nil || len(got.Bookings) != 1 || got.Bookings[0].Queue != "q" {
		t.Errorf("got bookings %+v, error %v, want one booking of queue q", got, err)
	}
	start := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	if err := client.ReleaseBooking(t.Context(), ReleaseRequest{Queue: "q", Booking: "b", Start: start}); err != nil {
		t.Error(err)
	}
	if cancelled, err := client.CancelJobs(t.Context(), CancelRequest{Jobs: []string{"i", "j"}}); cancelled != 2 || err != nil {
		t.Errorf("got %d jobs cancelled, error %v, want 2", cancelled, err)
	}
	want := []string{
		"GET /v1/bookings?hours=2 ",
		`POST /v1/bookings/release {"queue":"q","booking":"b","start":"2026-01-31T14:00:00Z"}`,
		`POST /v1/cancellations {"jobs":["i","j"]}`,
	}
	if len(requests) != len(want) || calls.Load() != 4 {
		t.Fatalf("got %d calls, recorded requests %q, want 4 calls, 3 of them recorded", calls.Load(), requests)
	}
	for index := range want {
		if requests[index] != want[index] {
			t.Errorf("got request %q, want %q", requests[index], want[index])
		}
	}
}
