package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reply is one answer of the fake front.
type reply struct {
	status int
	body   any
	// lost breaks the connection in place of an answer.
	lost bool
}

func ok(body any) reply { return reply{status: http.StatusOK, body: body} }

func refusal(status int, code api.ErrorCode, fields ...api.FieldError) reply {
	return reply{status: status, body: &api.Error{Status: status, Code: code, Message: "because", Fields: fields}}
}

// refusalLater refuses with a pause that no call has the time for, so that
// the client gives up at once.
func refusalLater(code api.ErrorCode) reply {
	const status = http.StatusServiceUnavailable
	return reply{status: status, body: &api.Error{Status: status, Code: code, Message: "because", RetryAfterMillis: 10_000}}
}

// received is one request that the fake front got.
type received struct {
	route, body, base, order, query string
}

// fakeFront answers each route with its replies in order; the last stays.
type fakeFront struct {
	t        *testing.T
	url      string
	sleep    func(context.Context, time.Duration) bool
	mutex    sync.Mutex
	replies  map[string][]reply
	requests []received
}

func newFakeFront(t *testing.T, replies map[string][]reply) *fakeFront {
	t.Helper()
	front := &fakeFront{t: t, replies: replies}
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	front.url = server.URL
	return front
}

func (f *fakeFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	route := request.Method + " " + request.URL.EscapedPath()
	f.mutex.Lock()
	f.requests = append(f.requests, received{
		route: route, body: string(body), base: request.Header.Get("If-Match"),
		order: request.Header.Get("Idempotency-Key"), query: request.URL.RawQuery,
	})
	replies := f.replies[route]
	if len(replies) > 1 {
		f.replies[route] = replies[1:]
	}
	f.mutex.Unlock()
	if len(replies) == 0 {
		f.t.Errorf("unexpected %s", route)
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if replies[0].lost {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(replies[0].status)
	_ = json.NewEncoder(writer).Encode(replies[0].body)
}

// got returns the requests of a route.
func (f *fakeFront) got(route string) []received {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.requests), func(one received) bool { return one.route != route })
}

// outcome is what one run of the command left.
type outcome struct {
	code     int
	out, err string
}

// decklever runs the command against a front.
func decklever(t *testing.T, front *fakeFront, input string, arguments ...string) outcome {
	t.Helper()
	var out, errs bytes.Buffer
	config := Config{In: strings.NewReader(input), Out: &out, Err: &errs, Location: time.UTC, completionTimeout: time.Minute}
	config.now = func() time.Time { return sampleNow }
	if front != nil {
		config.sleep = front.sleep
		config.Getenv = func(name string) string {
			if name != frontsVariable {
				t.Errorf("read %s", name)
			}
			return front.url
		}
	}
	code := Run(t.Context(), arguments, config)
	return outcome{code, out.String(), errs.String()}
}

// writeFile writes a file of the test and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// wantText fails with both texts unless they are the same.
func wantText(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s:\n%s\nwant:\n%s", what, got, want)
	}
}

var (
	sampleTime = time.Date(2026, 1, 31, 14, 0, 0, 9e8, time.UTC)
	sampleNow  = time.Date(2026, 1, 31, 13, 30, 0, 0, time.UTC)
)

// windowAt is a window of two hours that starts this many hours after
// sampleNow and is held from half an hour before.
func windowAt(hours int, queue, booking string, state api.BookingState, workers ...api.BookingSlices) api.BookingStatus {
	start := sampleNow.Add(time.Duration(hours) * time.Hour)
	window := api.BookingStatus{
		Queue: queue, Booking: booking, Start: start, End: start.Add(2 * time.Hour), HeldFrom: start.Add(-30 * time.Minute),
		State: state, Slots: 4, Slice: api.Resources{CPUMillis: 1000, MemoryMB: 4}, Workers: workers,
	}
	for _, one := range workers {
		window.Placed += one.Slots
		window.Used += one.Used
	}
	return window
}

// sampleBookings are an open window, one that is held with a slice that lies
// nowhere, one that was released and one far off.
func sampleBookings() api.BookingList {
	return api.BookingList{Bookings: []api.BookingStatus{
		windowAt(-1, "q", "opening", api.BookingOpen, api.BookingSlices{Worker: "w1", Slots: 4, Used: 3}),
		windowAt(0, "r", "nightly", api.BookingReleased, api.BookingSlices{Worker: "w1", Slots: 4}),
		windowAt(3, "q", "closing", api.BookingHeld, api.BookingSlices{Worker: "w1", Slots: 3}),
		windowAt(11, "q", "opening", api.BookingPlanned),
	}}
}

func sampleStatus(state api.State) api.JobStatus {
	tasks := []api.TaskStatus{
		{Task: "j/a/0", State: state, Run: 2, Worker: "w1", Failures: 1},
		{Task: "j/a/1", State: api.StatePending, Reason: "no room\n\x1b[2J"},
	}
	return api.JobStatus{
		ID: "j", Queue: "q", Priority: 5, State: state, SubmittedAt: sampleTime,
		Steps: []api.StepStatus{{Name: "a", State: state, Tasks: tasks}},
	}
}

// configAt is a configuration in force, with drained workers.
func configAt(version uint64, workers ...string) reply {
	return ok(api.ConfigStatus{Version: version, Config: api.Config{
		Queues: []api.QueueConfig{{Name: "q"}}, Drains: api.DrainConfig{Workers: workers},
	}})
}

func accepted(version uint64) reply { return ok(api.ConfigStatus{Version: version}) }

func jsonOf(value any) string {
	data, err := json.MarshalIndent(value, "", "  ")
	return fmt.Sprintf("%s\n%s", data, noError(err))
}

func noError(err error) string {
	if err != nil {
		return err.Error()
	}
	return ""
}
