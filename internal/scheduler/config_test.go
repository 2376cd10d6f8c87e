package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// TestGetConfig_AnnotationRequestOmitsOthers: a request that names an annotation must return
// it without the others and the queues, as those may be large.
func TestGetConfig_AnnotationRequestOmitsOthers(t *testing.T) {
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
			t.Errorf("annotation %q (-want +got):\n%s", name, difference)
		}
	}
	full, err := h.leader.getConfig(t.Context(), protocol.ConfigRequest{})
	if err != nil || len(full.Status.Config.Annotations) != 2 || len(full.Status.Config.Queues) != 1 {
		t.Errorf("full configuration: got %+v, %v, want 2 annotations and 1 queue", full.Status, err)
	}
	h.log.holdsLease = false
	if _, err := h.leader.getConfig(t.Context(), protocol.ConfigRequest{Annotation: "number"}); err == nil {
		t.Error("annotation read without the lease: got no error")
	}
}
