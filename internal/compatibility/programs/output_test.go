package programs

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/compatibility/golden"
)

// documentsFile holds a filled answer of each route, a line each.
const documentsFile = "../messages/testdata/documents.txt"

// readRoutes are the routes that the reading commands ask, and the documents
// that answer them.
var readRoutes = map[string]string{
	"GET /v1/jobs/{id}":       "GET /v1/jobs/{id} answer filled",
	"GET /v1/jobs":            "GET /v1/jobs answer filled",
	"GET /v1/config":          "GET /v1/config answer filled",
	"GET /v1/config/versions": "GET /v1/config/versions answer filled",
	"GET /v1/config/rollout":  "GET /v1/config/rollout answer filled",
	"GET /v1/workers":         "GET /v1/workers answer filled",
	"GET /v1/members":         "GET /v1/members answer filled",
	"GET /v1/queues":          "GET /v1/queues answer filled",
	"GET /v1/queues/{queue}":  "GET /v1/queues/{queue} answer filled",
	"GET /v1/bookings":        "GET /v1/bookings answer filled",
	"GET /v1/drains":          "GET /v1/drains answer filled",
}

// readCommands are the commands that only read, with whatever form of output.
var readCommands = []string{
	"job status j", "job list", "config get", "config history", "config rollout", "worker list", "member list",
	"queue list", "booking list", "drains list", "status",
}

func TestReadingCommands_PrintAsBefore(t *testing.T) {
	front := serveDocuments(t)
	var text strings.Builder
	for _, command := range readCommands {
		for _, form := range []string{"json", "yaml", "table"} {
			arguments := append(strings.Fields(command), "-o", form)
			text.WriteString(invocation{program: "decklever", arguments: arguments, environment: frontsOf(front)}.section(t))
		}
	}
	golden.CompareText(t, "testdata/output.txt", text.String())
}

// serveDocuments is a front that answers every reading route.
func serveDocuments(t *testing.T) *httptest.Server {
	t.Helper()
	documents := readDocuments(t)
	mux := http.NewServeMux()
	for route, name := range readRoutes {
		body, exists := documents[name]
		if !exists {
			t.Fatalf("no document %q", name)
		}
		mux.HandleFunc(route, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Type", "application/json")
			_, _ = writer.Write([]byte(body))
		})
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

func readDocuments(t *testing.T) map[string]string {
	t.Helper()
	content, err := os.ReadFile(documentsFile)
	if err != nil {
		t.Fatal(err)
	}
	documents := map[string]string{}
	for line := range strings.Lines(string(content)) {
		name, body, _ := strings.Cut(line, "\t")
		documents[name] = body
	}
	return documents
}

func frontsOf(front *httptest.Server) []string { return []string{"DECKLEVER_FRONTS=" + front.URL} }

// refusedStatuses are the codes of refusals with their statuses.
var refusedStatuses = map[string]int{
	"invalid": 422, "impossible": 422, "malformed": 400, "too_large": 413, "not_found": 404, "wrong_method": 405,
	"conflict": 409, "lost_race": 412, "no_base": 428, "over_limit": 429, "internal": 500,
}

func TestRefusedCommands_ExitAsBefore(t *testing.T) {
	found := golden.Values{}
	for code, status := range refusedStatuses {
		front := refuseAll(t, code, status)
		for _, command := range []string{"job status j", "job cancel j", "queue list", "config history", "worker list"} {
			got := invocation{program: "decklever", arguments: strings.Fields(command), environment: frontsOf(front)}.run(t)
			found[code+" "+command] = fmt.Sprintf("%d %q %q", got.code, got.out, got.errors)
		}
	}
	golden.Compare(t, "testdata/refused.txt", found)
}

// refuseAll is a front that refuses every call.
func refuseAll(t *testing.T, code string, status int) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_, _ = fmt.Fprintf(writer, `{"status":%d,"code":%q,"message":"because","fields":[{"field":"f","value":"v","expected":"e"}]}`, status, code)
	}))
	t.Cleanup(server.Close)
	return server
}
