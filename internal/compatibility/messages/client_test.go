package messages

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/compatibility/golden"
)

// transportHeaders are set by net/http and may change with the Go release.
var transportHeaders = map[string]bool{"Accept-Encoding": true, "User-Agent": true}

// clientCalls are the calls of the Go client, by name.
var clientCalls = map[string]func(context.Context, *api.Client) error{
	"SubmitJob": func(ctx context.Context, c *api.Client) error {
		_, err := c.SubmitJob(ctx, "job 1", api.JobSpec{Queue: "q"})
		return err
	},
	"Job": func(ctx context.Context, c *api.Client) error { _, err := c.Job(ctx, "job 1", 0); return err },
	"Jobs": func(ctx context.Context, c *api.Client) error {
		_, err := c.Jobs(ctx, api.JobsQuery{Queue: "q", State: api.StateFailed, Limit: 7, PageToken: "p&1"})
		return err
	},
	"CancelJob": func(ctx context.Context, c *api.Client) error { _, err := c.CancelJob(ctx, "job 1"); return err },
	"CancelJobs": func(ctx context.Context, c *api.Client) error {
		_, err := c.CancelJobs(ctx, api.CancelRequest{Queue: "q"})
		return err
	},
	"Config": func(ctx context.Context, c *api.Client) error { _, err := c.Config(ctx); return err },
	"PutConfig": func(ctx context.Context, c *api.Client) error {
		_, err := c.PutConfig(ctx, 6, "order-1", api.Config{})
		return err
	},
	"ValidateConfig": func(ctx context.Context, c *api.Client) error { return c.ValidateConfig(ctx, api.Config{}) },
	"ConfigVersions": func(ctx context.Context, c *api.Client) error { _, err := c.ConfigVersions(ctx); return err },
	"Rollout":        func(ctx context.Context, c *api.Client) error { _, err := c.Rollout(ctx); return err },
	"Workers":        func(ctx context.Context, c *api.Client) error { _, err := c.Workers(ctx); return err },
	"Members":        func(ctx context.Context, c *api.Client) error { _, err := c.Members(ctx); return err },
	"Queues":         func(ctx context.Context, c *api.Client) error { _, err := c.Queues(ctx); return err },
	"Queue":          func(ctx context.Context, c *api.Client) error { _, err := c.Queue(ctx, "q/1"); return err },
	"Bookings": func(ctx context.Context, c *api.Client) error {
		_, err := c.Bookings(ctx, 48*time.Hour)
		return err
	},
	"ReleaseBooking": func(ctx context.Context, c *api.Client) error {
		return c.ReleaseBooking(ctx, api.ReleaseRequest{Queue: "q", Booking: "b", Start: baseTime})
	},
	"DrainZone":   func(ctx context.Context, c *api.Client) error { return c.DrainZone(ctx, "z 1") },
	"RestoreZone": func(ctx context.Context, c *api.Client) error { return c.RestoreZone(ctx, "z 1") },
	"Drains":      func(ctx context.Context, c *api.Client) error { _, err := c.Drains(ctx); return err },
}

// TestClient_SendsAsBefore compares the method, path, headers and body of each
// request of the Go client.
func TestClient_SendsAsBefore(t *testing.T) {
	got := golden.Values{}
	var sent string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		sent = describeRequest(request)
		_, _ = io.WriteString(writer, "{}")
	}))
	t.Cleanup(server.Close)
	client, err := api.NewClient(api.ClientConfig{Endpoints: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	for name, call := range clientCalls {
		sent = ""
		if err := call(t.Context(), client); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		got[name] = sent
	}
	golden.Compare(t, "testdata/client.txt", got)
}

func describeRequest(request *http.Request) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s", request.Method, request.URL.RequestURI())
	for _, name := range slices.Sorted(maps.Keys(request.Header)) {
		if !transportHeaders[name] {
			fmt.Fprintf(&text, " %s: %s;", name, strings.Join(request.Header[name], ", "))
		}
	}
	body, err := io.ReadAll(request.Body)
	fmt.Fprintf(&text, " %s", body)
	if err != nil {
		fmt.Fprintf(&text, " (%v)", err)
	}
	return text.String()
}
