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
	var seen []string
	recording := func(body any) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			sent, _ := io.ReadAll(request.Body)
			seen = append(seen, request.Method+" "+request.URL.String()+" "+string(sent))
			answering(200, body)(writer, request)
		}
	}
	list := BookingList{Bookings: []BookingStatus{{Queue: "q"}}}
	client := clientOf(t, endpointOf(t, &calls, recording(list), recording(ReleaseAnswer{Released: true}), dropping, recording(CancelAnswer{Cancelled: 2})))
	got, err := client.Bookings(t.Context(), time.Hour+1)
	if err != nil || len(got.Bookings) != 1 || got.Bookings[0].Queue != "q" {
		t.Errorf("bookings %+v, %v", got, err)
	}
	start := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	if err := client.ReleaseBooking(t.Context(), ReleaseRequest{Queue: "q", Booking: "b", Start: start}); err != nil {
		t.Error(err)
	}
	if cancelled, err := client.CancelJobs(t.Context(), CancelRequest{Jobs: []string{"i", "j"}}); cancelled != 2 || err != nil {
		t.Errorf("%d cancelled, %v", cancelled, err)
	}
	want := []string{
		"GET /v1/bookings?hours=2 ",
		`POST /v1/bookings/release {"queue":"q","booking":"b","start":"2026-01-31T14:00:00Z"}`,
		`POST /v1/cancellations {"jobs":["i","j"]}`,
	}
	if len(seen) != len(want) || calls.Load() != 4 {
		t.Fatalf("%d calls, seen %q", calls.Load(), seen)
	}
	for index := range want {
		if seen[index] != want[index] {
			t.Errorf("call %q, want %q", seen[index], want[index])
		}
	}
}
