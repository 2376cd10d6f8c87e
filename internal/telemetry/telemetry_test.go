package telemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLogger_WritesOriginAndFollowsLevel(t *testing.T) {
	var output bytes.Buffer
	level := new(slog.LevelVar)
	logger := NewLogger(LoggerConfig{Output: &output, Level: level, Format: FormatJSON, Program: "p", Process: "s1"})
	logger.Debug("hidden")
	level.Set(slog.LevelDebug)
	logger.Debug("shown", slog.Int("count", 3))
	var line map[string]any
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("decode the log line: %v, got %q", err, output.String())
	}
	delete(line, "time")
	want := map[string]any{"level": "DEBUG", "msg": "shown", "program": "p", "process": "s1", "count": 3.0}
	if diff := cmp.Diff(want, line); diff != "" {
		t.Fatalf("log line differs (-want +got):\n%s", diff)
	}
}

func TestHandler_ReadyOnceAllPartsAre(t *testing.T) {
	health := NewHealth()
	handler := Handler(NewRegistry(), health)
	wantAnswer(t, handler.ServeHTTP, "/readyz", 503, `{"ready":false,"parts":[]}`)
	health.SetReady("watch", false, "no leader")
	health.SetReady("data", true, "")
	wantAnswer(t, handler.ServeHTTP, "/readyz", 503, `{"ready":false,"parts":[{"part":"data","ready":true},{"part":"watch","ready":false,"reason":"no leader"}]}`)
	health.SetReady("watch", true, "")
	wantAnswer(t, handler.ServeHTTP, "/readyz", 200, `{"ready":true,"parts":[{"part":"data","ready":true},{"part":"watch","ready":true}]}`)
	wantAnswer(t, handler.ServeHTTP, "/healthz", 200, "ok")
	wantAnswer(t, handler.ServeHTTP, "/metrics", 200, "go_goroutines")
}

func wantAnswer(t *testing.T, serve http.HandlerFunc, path string, status int, want string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	serve(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	if recorder.Code != status || !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("%s: got status %d, body %q, want status %d, body containing %q", path, recorder.Code, recorder.Body, status, want)
	}
}
