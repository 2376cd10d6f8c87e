package httpjson

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestWrite_AnswersMatchByteForByte(t *testing.T) {
	cases := []struct {
		name   string
		write  func(http.ResponseWriter)
		status int
		// retryAfter is the expected Retry-After header; empty if there must be none.
		retryAfter string
		body       string
	}{
		{
			"body with HTML characters, which are escaped",
			func(w http.ResponseWriter) { Write(w, http.StatusCreated, map[string]string{"a": "<&>"}) },
			http.StatusCreated, "", `{"a":"\u003c\u0026\u003e"}`,
		},
		{
			"body that cannot be encoded as JSON",
			func(w http.ResponseWriter) { Write(w, http.StatusOK, make(chan int)) },
			http.StatusInternalServerError, "",
			`{"status":500,"code":"internal","message":"the answer has no JSON form: json: unsupported type: chan int"}`,
		},
		{
			"error without an error status",
			func(w http.ResponseWriter) { WriteError(w, &api.Error{Status: 200, Code: "odd", Message: "m"}) },
			http.StatusInternalServerError, "", `{"status":500,"code":"odd","message":"m"}`,
		},
		{
			"error with a Retry-After, rounded up to seconds",
			func(w http.ResponseWriter) {
				WriteError(w, &api.Error{Status: 503, Code: api.CodeUnavailable, Message: "m", RetryAfterMillis: 1001})
			},
			http.StatusServiceUnavailable, "2", `{"status":503,"code":"unavailable","message":"m","retry_after_ms":1001}`,
		},
		{
			"Retry-After of less than a second",
			func(w http.ResponseWriter) {
				WriteError(w, &api.Error{Status: 429, Code: api.CodeOverLimit, Message: "m", RetryAfterMillis: 1})
			},
			http.StatusTooManyRequests, "1", `{"status":429,"code":"over_limit","message":"m","retry_after_ms":1}`,
		},
		{
			"invalid fields",
			func(w http.ResponseWriter) {
				WriteError(w, Invalid("job", []api.FieldError{{Field: "f", Value: "v", Expected: "e"}}))
			},
			http.StatusUnprocessableEntity, "",
			`{"status":422,"code":"invalid","message":"the job has 1 wrong fields","fields":[{"field":"f","value":"v","expected":"e"}]}`,
		},
		{
			"path that is not served",
			func(w http.ResponseWriter) { WriteError(w, PathNotFound("/x")) },
			http.StatusNotFound, "", `{"status":404,"code":"not_found","message":"there is nothing at /x"}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := httptest.NewRecorder()
			c.write(answer)
			if answer.Code != c.status || answer.Body.String() != c.body+"\n" {
				t.Errorf("got status %d, body %s, want status %d, body %s", answer.Code, answer.Body, c.status, c.body)
			}
			header := answer.Header()
			if header.Get("Content-Type") != "application/json" || header.Get("Cache-Control") != "no-store" {
				t.Errorf("got the headers %v, want Content-Type application/json and Cache-Control no-store", header)
			}
			if got := header.Get("Retry-After"); got != c.retryAfter {
				t.Errorf("Retry-After: got %q, want %q", got, c.retryAfter)
			}
		})
	}
}

func TestWriteMethodNotAllowed_ListsAllowedMethods(t *testing.T) {
	answer := httptest.NewRecorder()
	WriteMethodNotAllowed(answer, "PUT, GET", "/x has no POST")
	if answer.Code != http.StatusMethodNotAllowed || answer.Header().Get("Allow") != "PUT, GET" {
		t.Errorf("got status %d, Allow %q, want 405 and \"PUT, GET\"", answer.Code, answer.Header().Get("Allow"))
	}
	if want := `{"status":405,"code":"wrong_method","message":"/x has no POST"}` + "\n"; answer.Body.String() != want {
		t.Errorf("got the body %s, want the error of a wrong method", answer.Body)
	}
}
