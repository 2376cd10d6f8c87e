package hollow

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

func TestLoopback_StoppedAgentLosesRequestAndAnswer(t *testing.T) {
	var served int
	link := &loopback{requests: &atomic.Int64{}}
	send := func() (string, error) {
		response, err := link.RoundTrip(httptest.NewRequest(http.MethodGet, agentURL, nil))
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		served++
		_, _ = io.WriteString(writer, "answer")
	})
	link.connect(handler)
	if body, err := send(); err != nil || body != "answer" {
		t.Errorf("running agent: got %q, error %v, want \"answer\"", body, err)
	}
	link.connect(nil)
	if _, err := send(); !errors.Is(err, errNoAgent) || served != 1 {
		t.Errorf("stopped agent: got error %v and %d served requests, want errNoAgent and 1", err, served)
	}
	link.connect(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler(writer, request)
		link.connect(nil)
	}))
	if _, err := send(); !errors.Is(err, errNoAgent) || served != 2 {
		t.Errorf("agent stopped while answering: got error %v and %d served requests, want errNoAgent and 2", err, served)
	}
	if sent := link.requests.Load(); sent != 3 {
		t.Errorf("got %d counted requests, want 3", sent)
	}
}
