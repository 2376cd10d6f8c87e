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

// addRequest keeps a body that the programs read, as a client writes it: empty,
// as a skeleton, and filled.
func addRequest[Body any](t *testing.T, kept golden.Values, name string) {
	t.Helper()
	var empty Body
	kept[name+" empty"] = string(encodeJSON(t, empty))
	kept[name+" skeleton"] = string(encodeJSON(t, skeleton[Body]()))

	body := filled[Body](t, name)
	data := encodeJSON(t, body)
	kept[name+" filled"] = string(data)
	var read Body
	if refusal := api.DecodeStrict(bytes.NewReader(data), &read); refusal != nil {
		t.Errorf("%s: its own form is refused: %v", name, refusal)
	}
	checkSame(t, name, read, body)
}

// addAnswer keeps a body that the programs write.
func addAnswer[Body any](t *testing.T, kept golden.Values, name string) {
	t.Helper()
	var empty, read Body
	kept[name+" empty"] = writtenAnswer(t, name, empty)
	kept[name+" skeleton"] = writtenAnswer(t, name, skeleton[Body]())

	body := filled[Body](t, name)
	written := writtenAnswer(t, name, body)
	kept[name+" filled"] = written
	if err := json.Unmarshal([]byte(written), &read); err != nil {
		t.Errorf("%s: its own form is not read: %v", name, err)
	}
	checkSame(t, name, read, body)
}

// checkSame compares what was read with what was written, and their encodings.
func checkSame[Body any](t *testing.T, name string, read, written Body) {
	t.Helper()
	if !reflect.DeepEqual(read, written) {
		t.Errorf("%s: read %+v, written was %+v", name, read, written)
	}
	if first, again := encodeJSON(t, written), encodeJSON(t, read); !bytes.Equal(first, again) {
		t.Errorf("%s: written again it is %s, before %s", name, again, first)
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

// writtenAnswer is the body as the servers of the programs write it.
func writtenAnswer(t *testing.T, name string, body any) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	httpjson.Write(recorder, http.StatusOK, body)
	if kind := recorder.Header().Get("Content-Type"); recorder.Code != http.StatusOK || kind != "application/json" {
		t.Errorf("%s: status %d, content type %q", name, recorder.Code, kind)
	}
	return string(bytes.TrimSuffix(recorder.Body.Bytes(), []byte("\n")))
}

func TestDocuments_EncodedAsBefore(t *testing.T) {
	kept := golden.Values{}
	addRequest[api.JobSpec](t, kept, "PUT /v1/jobs/{id} request")
	addRequest[api.CancelRequest](t, kept, "POST /v1/cancellations request")
	addRequest[api.Config](t, kept, "PUT /v1/config request")
	addRequest[api.ReleaseRequest](t, kept, "POST /v1/bookings/release request")
	addRequest[api.Heartbeat](t, kept, "POST /v1/heartbeat request")
	addRequest[api.LeaveNotice](t, kept, "POST /v1/leave request")

	addAnswer[api.SubmitAnswer](t, kept, "PUT /v1/jobs/{id} answer")
	addAnswer[api.JobStatus](t, kept, "GET /v1/jobs/{id} answer")
	addAnswer[api.JobList](t, kept, "GET /v1/jobs answer")
	addAnswer[api.CancelAnswer](t, kept, "POST /v1/cancellations answer")
	addAnswer[api.ConfigStatus](t, kept, "GET /v1/config answer")
	addAnswer[api.ValidateAnswer](t, kept, "POST /v1/config/validate answer")
	addAnswer[api.ConfigVersions](t, kept, "GET /v1/config/versions answer")
	addAnswer[api.Rollout](t, kept, "GET /v1/config/rollout answer")
	addAnswer[api.WorkerList](t, kept, "GET /v1/workers answer")
	addAnswer[api.MemberList](t, kept, "GET /v1/members answer")
	addAnswer[api.QueueList](t, kept, "GET /v1/queues answer")
	addAnswer[api.QueueStatus](t, kept, "GET /v1/queues/{queue} answer")
	addAnswer[api.BookingList](t, kept, "GET /v1/bookings answer")
	addAnswer[api.ReleaseAnswer](t, kept, "POST /v1/bookings/release answer")
	addAnswer[api.DrainList](t, kept, "GET /v1/drains answer")
	addAnswer[api.ZoneDrain](t, kept, "PUT /v1/drains/zones/{zone} answer")
	addAnswer[api.HeartbeatAnswer](t, kept, "POST /v1/heartbeat answer")
	addAnswer[api.LeaveAnswer](t, kept, "POST /v1/leave answer")
	addAnswer[api.Error](t, kept, "refusal")
	golden.Compare(t, "testdata/documents.txt", kept)
}
