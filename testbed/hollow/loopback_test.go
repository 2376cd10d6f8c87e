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
		t.Errorf("a running agent answered %q, %v", body, err)
	}
	link.connect(nil)
	if _, err := send(); !errors.Is(err, errNoAgent) || served != 1 {
		t.Errorf("a request to a stopped agent: %v, %d served", err, served)
	}
	link.connect(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler(writer, request)
		link.connect(nil)
	}))
	if _, err := send(); !errors.Is(err, errNoAgent) || served != 2 {
		t.Errorf("an answer of an agent that stopped meanwhile: %v, %d served", err, served)
	}
	if sent := link.requests.Load(); sent != 3 {
		t.Errorf("%d requests were counted, want 3", sent)
	}
}
