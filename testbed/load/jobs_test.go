package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// newTestGenerator returns a generator that calls one fake front, and its call log.
func newTestGenerator(t *testing.T, front http.HandlerFunc) (*Generator, *calllog.Log) {
	t.Helper()
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	callLog, err := calllog.Open("")
	if err != nil {
		t.Fatal(err)
	}
	generator, err := New(Config{Endpoints: []string{server.URL}, CallLog: callLog})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { generator.Finish(t.Context()) })
	return generator, callLog
}

func writeAnswer(writer http.ResponseWriter, status int, body any) {
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "1")
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func TestFlood_AttemptsEachJobOnceAndRecordsAnswer(t *testing.T) {
	statuses := []int{422, 429, 503, 500, 201}
	generator, callLog := newTestGenerator(t, func(writer http.ResponseWriter, request *http.Request) {
		var number int
		_, _ = fmt.Sscanf(request.URL.Path, "/v1/jobs/j%d", &number)
		status := statuses[number%len(statuses)]
		if status == http.StatusCreated {
			writeAnswer(writer, status, api.SubmitAnswer{Created: true})
			return
		}
		writeAnswer(writer, status, api.Error{Status: status, Code: "because", Message: "m"})
	})
	const jobs = 50
	generator.Flood(t.Context(), 4, jobs, func(number int) Job {
		return Job{ID: fmt.Sprintf("j%d", number), Class: calllog.ClassImpossible}
	})
	counts := map[int]int{}
	ids := map[string]bool{}
	for _, entry := range callLog.Entries() {
		counts[entry.Status]++
		ids[entry.JobID] = true
		rejected := entry.Status != http.StatusCreated
		if entry.Class != calllog.ClassImpossible || entry.RetryAfter != (entry.Status == 503) ||
			entry.Accepted() == rejected || (entry.Code == "because") != rejected {
			t.Errorf("got entry %+v, want class impossible, Retry-After only with 503, and a code only with a rejection", entry)
		}
	}
	want := map[int]int{422: 10, 429: 10, 503: 10, 500: 10, 201: 10}
	if difference := cmp.Diff(want, counts); difference != "" || len(ids) != jobs {
		t.Errorf("got %d jobs, want 50; statuses (-want +got): %s", len(ids), difference)
	}
}

func TestSubmitAll_RetriesWhileLimited(t *testing.T) {
	var calls atomic.Int64
	generator, callLog := newTestGenerator(t, func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case strings.HasSuffix(request.URL.Path, "wrong"):
			writeAnswer(writer, 422, api.Error{Status: 422, Code: api.CodeInvalid, Message: "m"})
		case calls.Add(1) == 1:
			writeAnswer(writer, 429, api.Error{Status: 429, Code: api.CodeOverLimit, Message: "m", RetryAfterMillis: 1})
		default:
			writeAnswer(writer, 201, api.SubmitAnswer{Created: true})
		}
	})
	jobs := []Job{{ID: "a", Class: calllog.ClassBooked}, {ID: "wrong"}, {ID: "b", Class: calllog.ClassBooked}}
	accepted := generator.SubmitAll(t.Context(), 1, jobs)
	if difference := cmp.Diff([]string{"a", "b"}, accepted); difference != "" {
		t.Error(difference)
	}
	if entries := callLog.Entries(); len(entries) != 4 || entries[0].Code != api.CodeOverLimit || entries[1].Class != calllog.ClassBooked {
		t.Errorf("got entries %+v, want 4, the first over the limit and the second of class booked", entries)
	}
}

func TestCancelQueue_RecordsEachJob(t *testing.T) {
	asOf := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	generator, callLog := newTestGenerator(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodGet && request.URL.Path == "/v1/queues" {
			writeAnswer(writer, 200, api.QueueList{AsOf: &asOf})
			return
		}
		var cancelRequest api.CancelRequest
		_ = json.NewDecoder(request.Body).Decode(&cancelRequest)
		if request.URL.Path != "/v1/cancellations" || cancelRequest.Queue != "q" {
			t.Errorf("got path %s with %+v, want /v1/cancellations for queue q", request.URL.Path, cancelRequest)
		}
		if until := cancelRequest.SubmittedUntil; until == nil || !until.Equal(asOf) {
			t.Errorf("got jobs submitted until %v cancelled, want until %v", until, asOf)
		}
		writeAnswer(writer, 200, api.CancelAnswer{Cancelled: 2})
	})
	cancelled, err := generator.CancelQueue(t.Context(), "q", []string{"a", "b"})
	entries := callLog.Entries()
	if err != nil || cancelled != 2 || len(entries) != 2 {
		t.Fatalf("got %d cancelled, error %v, entries %+v, want 2 cancelled and 2 entries", cancelled, err, entries)
	}
	if entries[0].JobID != "a" || entries[1].JobID != "b" || entries[1].Kind != calllog.KindCancel || !entries[1].Accepted() {
		t.Errorf("got entries %+v, want accepted cancellations of a and b", entries)
	}
}
