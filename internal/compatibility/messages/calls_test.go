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

// exchange is one call as it was seen on the connection.
type exchange struct {
	path, contentType string
	status            int
	request, answer   []byte
}

// recorder passes calls on and keeps what was sent both ways.
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

// fixture is a client and a server that are connected.
type fixture struct {
	server  *rpc.Server
	client  *rpc.Client
	seen    *recorder
	address string
	values  golden.Values
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{server: rpc.NewServer(rpc.ServerConfig{}), client: rpc.NewClient(rpc.ClientConfig{}), values: golden.Values{}}
	f.seen = &recorder{next: f.server}
	listener := httptest.NewServer(f.seen)
	t.Cleanup(listener.Close)
	t.Cleanup(f.client.Close)
	f.address = strings.TrimPrefix(listener.URL, "http://")
	return f
}

// record makes calls of a method with empty messages, skeletons and filled ones, checks
// that both sides read what was sent, and keeps the bytes.
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
	f.keep("empty")
	reply = skeleton[Answer]()
	call[Request, Answer](t, f, method, skeleton[Request]())
	f.keep("skeleton")

	sent := filled[Request](t, string(method)+" request")
	reply = filled[Answer](t, string(method)+" answer")
	answer := call[Request, Answer](t, f, method, sent)
	f.keep("filled")
	if !reflect.DeepEqual(received, sent) {
		t.Errorf("%s: the server read %+v, sent was %+v", method, received, sent)
	}
	if !reflect.DeepEqual(answer, reply) {
		t.Errorf("%s: the client read %+v, sent was %+v", method, answer, reply)
	}
	first := f.seen.last
	reply = answer
	call[Request, Answer](t, f, method, received)
	if again := f.seen.last; !bytes.Equal(again.request, first.request) || !bytes.Equal(again.answer, first.answer) {
		t.Errorf("%s: encoded again, the messages are %x and %x, before %x and %x",
			method, again.request, again.answer, first.request, first.answer)
	}
}

func call[Request, Answer any](t *testing.T, f *fixture, method protocol.Method, request Request) Answer {
	t.Helper()
	answer, err := rpc.Call[Request, Answer](t.Context(), f.client, f.address, method, request)
	if err != nil {
		t.Fatalf("%s: %v", method, err)
	}
	if f.seen.last.contentType != "application/cbor" {
		t.Errorf("%s: content type %q", method, f.seen.last.contentType)
	}
	return answer
}

func (f *fixture) keep(form string) {
	name := f.seen.last.path + " " + form
	f.values[name+" request"] = hex.EncodeToString(f.seen.last.request)
	f.values[name+" answer"] = hex.EncodeToString(f.seen.last.answer)
}

func TestCalls_EncodedAsBefore(t *testing.T) {
	f := newFixture(t)
	recordReplicaCalls(t, f)
	recordWorkerCalls(t, f)
	recordJobCalls(t, f)
	recordConfigCalls(t, f)
	recordOperatorCalls(t, f)
	checkAllMethods(t, f.values)
	golden.CompareExplained(t, "testdata/calls.txt", f.values, explainCBOR)
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

// explainCBOR writes encoded bytes in the diagnostic notation of RFC 8949.
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
