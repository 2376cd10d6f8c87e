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

// documentsFile has one line for each document: its name, a tab and the JSON. Among
// them is a filled answer for each route.
const documentsFile = "../messages/testdata/documents.txt"

// readRoutes has the routes that the read-only commands call, each with the name of
// the document that answers it.
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

// readCommands are the read-only commands. The test runs each with every output
// format.
var readCommands = []string{
	"job status j", "job list", "config get", "config history", "config rollout", "worker list", "member list",
	"queue list", "booking list", "drains list", "status",
}

func TestReadingCommands_PrintAsBefore(t *testing.T) {
	front := serveDocuments(t)
	var text strings.Builder
	for _, command := range readCommands {
		for _, format := range []string{"json", "yaml", "table"} {
			arguments := append(strings.Fields(command), "-o", format)
			text.WriteString(invocation{program: "decklever", arguments: arguments, environment: frontEnvironment(front)}.section(t))
		}
	}
	golden.CompareText(t, "testdata/output.txt", text.String())
}

// serveDocuments starts a server that answers every route of readRoutes as a front
// does.
func serveDocuments(t *testing.T) *httptest.Server {
	t.Helper()
	documents := readDocuments(t)
	mux := http.NewServeMux()
	for route, name := range readRoutes {
		body, exists := documents[name]
		if !exists {
			t.Fatalf("document %q is missing in the file of documents", name)
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

func frontEnvironment(front *httptest.Server) []string {
	return []string{"DECKLEVER_FRONTS=" + front.URL}
}

// errorStatuses has the HTTP status of each error code.
var errorStatuses = map[string]int{
	"invalid": 422, "impossible": 422, "malformed": 400, "too_large": 413, "not_found": 404, "wrong_method": 405,
	"conflict": 409, "lost_race": 412, "no_base": 428, "over_limit": 429, "internal": 500,
}

func TestRefusedCommands_ExitAsBefore(t *testing.T) {
	results := golden.Values{}
	for code, status := range errorStatuses {
		front := serveErrors(t, code, status)
		for _, command := range []string{"job status j", "job cancel j", "queue list", "config history", "worker list"} {
			got := invocation{program: "decklever", arguments: strings.Fields(command), environment: frontEnvironment(front)}.run(t)
			results[code+" "+command] = fmt.Sprintf("%d %q %q", got.exitCode, got.stdout, got.stderr)
		}
	}
	golden.Compare(t, "testdata/refused.txt", results)
}

// serveErrors starts a server that answers every call with the given error.
func serveErrors(t *testing.T, code string, status int) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_, _ = fmt.Fprintf(writer, `{"status":%d,"code":%q,"message":"because","fields":[{"field":"f","value":"v","expected":"e"}]}`, status, code)
	}))
	t.Cleanup(server.Close)
	return server
}
