package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// TestGetConfig_AnnotationIsReadAlone as it may be large.
func TestGetConfig_AnnotationIsReadAlone(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{
		Annotations: map[string]string{"number": "12", "document": "a large one"},
		Queues:      []api.QueueConfig{{Name: "q"}},
	})
	for name, want := range map[string]string{"number": "12", "unknown": ""} {
		answer, err := h.leader.getConfig(t.Context(), protocol.ConfigRequest{Annotation: name})
		if err != nil {
			t.Fatal(err)
		}
		only := api.ConfigStatus{Version: 2, Config: api.Config{Annotations: map[string]string{name: want}}}
		if difference := cmp.Diff(only, answer.Status); difference != "" {
			t.Errorf("annotation %q: %s", name, difference)
		}
	}
	whole, err := h.leader.getConfig(t.Context(), protocol.ConfigRequest{})
	if err != nil || len(whole.Status.Config.Annotations) != 2 || len(whole.Status.Config.Queues) != 1 {
		t.Errorf("whole configuration %+v, %v", whole.Status, err)
	}
	h.log.lease = false
	if _, err := h.leader.getConfig(t.Context(), protocol.ConfigRequest{Annotation: "number"}); err == nil {
		t.Error("an annotation was read without the lease")
	}
}
