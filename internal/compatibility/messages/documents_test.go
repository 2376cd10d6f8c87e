package messages

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/compatibility/golden"
	"github.com/decklever/decklever/internal/httpjson"
)

// addRequest records a request body as a client encodes it: empty, as a skeleton, and
// filled. It checks that decoding the filled body gives the same value.
func addRequest[Body any](t *testing.T, got golden.Values, name string) {
	t.Helper()
	var empty Body
	got[name+" empty"] = string(encodeJSON(t, empty))
	got[name+" skeleton"] = string(encodeJSON(t, skeleton[Body]()))

	body := filled[Body](t, name)
	data := encodeJSON(t, body)
	got[name+" filled"] = string(data)
	var read Body
	if refusal := api.DecodeStrict(bytes.NewReader(data), &read); refusal != nil {
		t.Errorf("%s: decoding the encoded body failed: %v", name, refusal)
	}
	checkSame(t, name, read, body)
}

// addAnswer records a response body as the servers encode it: empty, as a skeleton,
// and filled. It checks that decoding the filled body gives the same value.
func addAnswer[Body any](t *testing.T, got golden.Values, name string) {
	t.Helper()
	var empty, read Body
	got[name+" empty"] = writtenAnswer(t, name, empty)
	got[name+" skeleton"] = writtenAnswer(t, name, skeleton[Body]())

	body := filled[Body](t, name)
	written := writtenAnswer(t, name, body)
	got[name+" filled"] = written
	if err := json.Unmarshal([]byte(written), &read); err != nil {
		t.Errorf("%s: decoding the written body failed: %v", name, err)
	}
	checkSame(t, name, read, body)
}

// checkSame compares a decoded body with the one that was encoded, and the encodings
// of both.
func checkSame[Body any](t *testing.T, name string, read, written Body) {
	t.Helper()
	if !reflect.DeepEqual(read, written) {
		t.Errorf("%s: got %+v, want %+v", name, read, written)
	}
	if first, reencoded := encodeJSON(t, written), encodeJSON(t, read); !bytes.Equal(first, reencoded) {
		t.Errorf("%s: re-encoded: got %s, want %s", name, reencoded, first)
	}
}

func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// writtenAnswer returns a response body as package httpjson writes it, without the
// final line break.
func writtenAnswer(t *testing.T, name string, body any) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	httpjson.Write(recorder, http.StatusOK, body)
	if contentType := recorder.Header().Get("Content-Type"); recorder.Code != http.StatusOK || contentType != "application/json" {
		t.Errorf("%s: got status %d, content type %q, want 200, application/json", name, recorder.Code, contentType)
	}
	return string(bytes.TrimSuffix(recorder.Body.Bytes(), []byte("\n")))
}

func TestDocuments_EncodedAsBefore(t *testing.T) {
	got := golden.Values{}
	addRequest[api.JobSpec](t, got, "PUT /v1/jobs/{id} request")
	addRequest[api.CancelRequest](t, got, "POST /v1/cancellations request")
	addRequest[api.Config](t, got, "PUT /v1/config request")
	addRequest[api.ReleaseRequest](t, got, "POST /v1/bookings/release request")
	addRequest[api.Heartbeat](t, got, "POST /v1/heartbeat request")
	addRequest[api.LeaveNotice](t, got, "POST /v1/leave request")

	addAnswer[api.SubmitAnswer](t, got, "PUT /v1/jobs/{id} answer")
	addAnswer[api.JobStatus](t, got, "GET /v1/jobs/{id} answer")
	addAnswer[api.JobList](t, got, "GET /v1/jobs answer")
	addAnswer[api.CancelAnswer](t, got, "POST /v1/cancellations answer")
	addAnswer[api.ConfigStatus](t, got, "GET /v1/config answer")
	addAnswer[api.ValidateAnswer](t, got, "POST /v1/config/validate answer")
	addAnswer[api.ConfigVersions](t, got, "GET /v1/config/versions answer")
	addAnswer[api.Rollout](t, got, "GET /v1/config/rollout answer")
	addAnswer[api.WorkerList](t, got, "GET /v1/workers answer")
	addAnswer[api.MemberList](t, got, "GET /v1/members answer")
	addAnswer[api.QueueList](t, got, "GET /v1/queues answer")
	addAnswer[api.QueueStatus](t, got, "GET /v1/queues/{queue} answer")
	addAnswer[api.BookingList](t, got, "GET /v1/bookings answer")
	addAnswer[api.ReleaseAnswer](t, got, "POST /v1/bookings/release answer")
	addAnswer[api.DrainList](t, got, "GET /v1/drains answer")
	addAnswer[api.ZoneDrain](t, got, "PUT /v1/drains/zones/{zone} answer")
	addAnswer[api.HeartbeatAnswer](t, got, "POST /v1/heartbeat answer")
	addAnswer[api.LeaveAnswer](t, got, "POST /v1/leave answer")
	addAnswer[api.Error](t, got, "refusal")
	golden.Compare(t, "testdata/documents.txt", got)
}
