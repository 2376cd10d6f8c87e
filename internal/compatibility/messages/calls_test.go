package messages

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/compatibility/golden"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// exchange is one call as it was sent over the connection.
type exchange struct {
	path, contentType string
	status            int
	request, answer   []byte
}

// recorder forwards calls to next and stores the last exchange.
type recorder struct {
	next http.Handler
	last exchange
}

// ServeHTTP implements http.Handler.
func (r *recorder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	r.next.ServeHTTP(answer, request)
	r.last = exchange{
		path: request.URL.Path, contentType: request.Header.Get("Content-Type"),
		status: answer.Code, request: body, answer: answer.Body.Bytes(),
	}
	for name, values := range answer.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.Code)
	_, _ = writer.Write(answer.Body.Bytes())
}

// fixture has an RPC client and server, with a recorder between them.
type fixture struct {
	server   *rpc.Server
	client   *rpc.Client
	recorder *recorder
	address  string
	got      golden.Values
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{server: rpc.NewServer(rpc.ServerConfig{}), client: rpc.NewClient(rpc.ClientConfig{}), got: golden.Values{}}
	f.recorder = &recorder{next: f.server}
	listener := httptest.NewServer(f.recorder)
	t.Cleanup(listener.Close)
	t.Cleanup(f.client.Close)
	f.address = strings.TrimPrefix(listener.URL, "http://")
	return f
}

// record calls a method with empty, skeleton and filled messages, and records their
// bytes. It checks that both sides decode the filled messages to what was sent, and
// that encoding the decoded messages gives the same bytes.
func record[Request, Answer any](t *testing.T, f *fixture, method protocol.Method) {
	t.Helper()
	var received Request
	var reply Answer
	rpc.Handle(f.server, method, func(_ context.Context, request Request) (Answer, error) {
		received = request
		return reply, nil
	})
	var empty Request
	call[Request, Answer](t, f, method, empty)
	f.recordExchange("empty")
	reply = skeleton[Answer]()
	call[Request, Answer](t, f, method, skeleton[Request]())
	f.recordExchange("skeleton")

	sent := filled[Request](t, string(method)+" request")
	reply = filled[Answer](t, string(method)+" answer")
	answer := call[Request, Answer](t, f, method, sent)
	f.recordExchange("filled")
	if !reflect.DeepEqual(received, sent) {
		t.Errorf("%s: server got %+v, want %+v", method, received, sent)
	}
	if !reflect.DeepEqual(answer, reply) {
		t.Errorf("%s: client got %+v, want %+v", method, answer, reply)
	}
	first := f.recorder.last
	reply = answer
	call[Request, Answer](t, f, method, received)
	if reencoded := f.recorder.last; !bytes.Equal(reencoded.request, first.request) || !bytes.Equal(reencoded.answer, first.answer) {
		t.Errorf("%s: re-encoded request and answer: got %x and %x, want %x and %x",
			method, reencoded.request, reencoded.answer, first.request, first.answer)
	}
}

func call[Request, Answer any](t *testing.T, f *fixture, method protocol.Method, request Request) Answer {
	t.Helper()
	answer, err := rpc.Call[Request, Answer](t.Context(), f.client, f.address, method, request)
	if err != nil {
		t.Fatalf("%s: %v", method, err)
	}
	if f.recorder.last.contentType != "application/cbor" {
		t.Errorf("%s: got content type %q, want application/cbor", method, f.recorder.last.contentType)
	}
	return answer
}

func (f *fixture) recordExchange(form string) {
	name := f.recorder.last.path + " " + form
	f.got[name+" request"] = hex.EncodeToString(f.recorder.last.request)
	f.got[name+" answer"] = hex.EncodeToString(f.recorder.last.answer)
}

func TestCalls_EncodedAsBefore(t *testing.T) {
	f := newFixture(t)
	recordReplicaCalls(t, f)
	recordWorkerCalls(t, f)
	recordJobCalls(t, f)
	recordConfigCalls(t, f)
	recordOperatorCalls(t, f)
	checkAllMethods(t, f.got)
	golden.CompareExplained(t, "testdata/calls.txt", f.got, explainCBOR)
}

func recordReplicaCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[protocol.RaftRequest, protocol.Empty](t, f, protocol.MethodRaft)
	record[protocol.SnapshotChunkRequest, protocol.SnapshotChunkAnswer](t, f, protocol.MethodSnapshotChunk)
	record[protocol.ArchivePageRequest, protocol.ArchivePageAnswer](t, f, protocol.MethodArchivePage)
	record[protocol.Empty, protocol.IdentityAnswer](t, f, protocol.MethodIdentity)
	record[protocol.JoinRequest, protocol.JoinAnswer](t, f, protocol.MethodJoin)
	record[protocol.RetireRequest, protocol.RetireAnswer](t, f, protocol.MethodRetire)
	record[protocol.Empty, protocol.ReadIndexAnswer](t, f, protocol.MethodReadIndex)
}

func recordWorkerCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[protocol.HeartbeatRequest, protocol.HeartbeatAnswer](t, f, protocol.MethodHeartbeat)
	record[protocol.LeaveRequest, protocol.Empty](t, f, protocol.MethodLeave)
	record[protocol.WatchRequest, protocol.WatchAnswer](t, f, protocol.MethodWatch)
}

func recordJobCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[protocol.SubmitRequest, protocol.SubmitAnswer](t, f, protocol.MethodSubmit)
	record[protocol.CancelRequest, protocol.JobAnswer](t, f, protocol.MethodCancel)
	record[protocol.CancelManyRequest, protocol.CancelManyAnswer](t, f, protocol.MethodCancelMany)
	record[protocol.GetJobRequest, protocol.JobAnswer](t, f, protocol.MethodGetJob)
	record[protocol.ListJobsRequest, protocol.ListJobsAnswer](t, f, protocol.MethodListJobs)
}

func recordConfigCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[protocol.ConfigRequest, protocol.ConfigAnswer](t, f, protocol.MethodGetConfig)
	record[protocol.PutConfigRequest, protocol.PutConfigAnswer](t, f, protocol.MethodPutConfig)
	record[protocol.ValidateConfigRequest, protocol.Empty](t, f, protocol.MethodValidateConfig)
	record[protocol.Empty, protocol.ConfigVersionsAnswer](t, f, protocol.MethodConfigVersions)
	record[protocol.Empty, protocol.RolloutAnswer](t, f, protocol.MethodRollout)
}

func recordOperatorCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[protocol.BookingsRequest, protocol.BookingsAnswer](t, f, protocol.MethodBookings)
	record[protocol.ReleaseRequest, protocol.Empty](t, f, protocol.MethodRelease)
	record[protocol.DrainZoneRequest, protocol.Empty](t, f, protocol.MethodDrainZone)
	record[protocol.Empty, protocol.DrainsAnswer](t, f, protocol.MethodDrains)
	record[protocol.Empty, protocol.WorkersAnswer](t, f, protocol.MethodWorkers)
	record[protocol.Empty, protocol.MembersAnswer](t, f, protocol.MethodMembers)
	record[protocol.Empty, protocol.QueuesAnswer](t, f, protocol.MethodQueues)
	record[protocol.QueueRequest, protocol.QueueAnswer](t, f, protocol.MethodQueue)
}

// explainCBOR converts CBOR in hex digits to the diagnostic notation of RFC 8949. It
// returns text itself if that is not valid CBOR in hex digits.
func explainCBOR(text string) string {
	data, err := hex.DecodeString(text)
	if err != nil {
		return text
	}
	notation, err := cbor.Diagnose(data)
	if err != nil {
		return text
	}
	return notation
}
