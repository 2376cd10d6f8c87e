package httpjson

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestAnswersAreWrittenByteForByte(t *testing.T) {
	cases := []struct {
		name   string
		write  func(http.ResponseWriter)
		status int
		// retryAfter is the header, empty if there must be none.
		retryAfter string
		body       string
	}{
		{
			"a body, with its marks of HTML escaped",
			func(w http.ResponseWriter) { Write(w, http.StatusCreated, map[string]string{"a": "<&>"}) },
			http.StatusCreated, "", `{"a":"\u003c\u0026\u003e"}`,
		},
		{
			"a body without a JSON form",
			func(w http.ResponseWriter) { Write(w, http.StatusOK, make(chan int)) },
			http.StatusInternalServerError, "",
			`{"status":500,"code":"internal","message":"the answer has no JSON form: json: unsupported type: chan int"}`,
		},
		{
			"a refusal without a status of an error",
			func(w http.ResponseWriter) { WriteError(w, &api.Error{Status: 200, Code: "odd", Message: "m"}) },
			http.StatusInternalServerError, "", `{"status":500,"code":"odd","message":"m"}`,
		},
		{
			"a refusal with a time to come back, rounded up to seconds",
			func(w http.ResponseWriter) {
				WriteError(w, &api.Error{Status: 503, Code: api.CodeUnavailable, Message: "m", RetryAfterMillis: 1001})
			},
			http.StatusServiceUnavailable, "2", `{"status":503,"code":"unavailable","message":"m","retry_after_ms":1001}`,
		},
		{
			"a time to come back of less than a second",
			func(w http.ResponseWriter) {
				WriteError(w, &api.Error{Status: 429, Code: api.CodeOverLimit, Message: "m", RetryAfterMillis: 1})
			},
			http.StatusTooManyRequests, "1", `{"status":429,"code":"over_limit","message":"m","retry_after_ms":1}`,
		},
		{
			"wrong fields",
			func(w http.ResponseWriter) {
				WriteError(w, Invalid("job", []api.FieldError{{Field: "f", Value: "v", Expected: "e"}}))
			},
			http.StatusUnprocessableEntity, "",
			`{"status":422,"code":"invalid","message":"the job has 1 wrong fields","fields":[{"field":"f","value":"v","expected":"e"}]}`,
		},
		{
			"nothing there",
			func(w http.ResponseWriter) { WriteError(w, NothingAt("/x")) },
			http.StatusNotFound, "", `{"status":404,"code":"not_found","message":"there is nothing at /x"}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := httptest.NewRecorder()
			c.write(answer)
			if answer.Code != c.status || answer.Body.String() != c.body+"\n" {
				t.Errorf("answered %d %s, want %d %s", answer.Code, answer.Body, c.status, c.body)
			}
			header := answer.Header()
			if header.Get("Content-Type") != "application/json" || header.Get("Cache-Control") != "no-store" {
				t.Errorf("headers %v", header)
			}
			if got := header.Get("Retry-After"); got != c.retryAfter {
				t.Errorf("Retry-After is %q, want %q", got, c.retryAfter)
			}
		})
	}
}

func TestRefusedMethodNamesThoseAllowed(t *testing.T) {
	answer := httptest.NewRecorder()
	RefuseMethod(answer, "PUT, GET", "/x has no POST")
	if answer.Code != http.StatusMethodNotAllowed || answer.Header().Get("Allow") != "PUT, GET" {
		t.Errorf("answered %d, Allow %q", answer.Code, answer.Header().Get("Allow"))
	}
	if want := `{"status":405,"code":"wrong_method","message":"/x has no POST"}` + "\n"; answer.Body.String() != want {
		t.Errorf("answered %s", answer.Body)
	}
}
