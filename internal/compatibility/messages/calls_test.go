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
	"github.com/decklever/decklever/internal/fleet"
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
	lines   golden.Lines
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{server: rpc.NewServer(rpc.ServerConfig{}), client: rpc.NewClient(rpc.ClientConfig{}), lines: golden.Lines{}}
	f.seen = &recorder{next: f.server}
	listener := httptest.NewServer(f.seen)
	t.Cleanup(listener.Close)
	t.Cleanup(f.client.Close)
	f.address = strings.TrimPrefix(listener.URL, "http://")
	return f
}

// record makes calls of a method with empty messages, skeletons and filled ones, checks
// that both sides read what was sent, and keeps the bytes.
func record[Request, Answer any](t *testing.T, f *fixture, method fleet.Method) {
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

func call[Request, Answer any](t *testing.T, f *fixture, method fleet.Method, request Request) Answer {
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
	f.lines[name+" request"] = hex.EncodeToString(f.seen.last.request)
	f.lines[name+" answer"] = hex.EncodeToString(f.seen.last.answer)
}

func TestCalls_EncodedAsBefore(t *testing.T) {
	f := newFixture(t)
	recordReplicaCalls(t, f)
	recordWorkerCalls(t, f)
	recordJobCalls(t, f)
	recordConfigCalls(t, f)
	recordOperatorCalls(t, f)
	golden.CompareExplained(t, "testdata/calls.txt", f.lines, explainCBOR)
}

func recordReplicaCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[fleet.RaftRequest, fleet.Empty](t, f, fleet.MethodRaft)
	record[fleet.SnapshotChunkRequest, fleet.SnapshotChunkAnswer](t, f, fleet.MethodSnapshotChunk)
	record[fleet.ArchivePageRequest, fleet.ArchivePageAnswer](t, f, fleet.MethodArchivePage)
	record[fleet.Empty, fleet.IdentityAnswer](t, f, fleet.MethodIdentity)
	record[fleet.JoinRequest, fleet.JoinAnswer](t, f, fleet.MethodJoin)
	record[fleet.RetireRequest, fleet.RetireAnswer](t, f, fleet.MethodRetire)
	record[fleet.Empty, fleet.ReadIndexAnswer](t, f, fleet.MethodReadIndex)
}

func recordWorkerCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[fleet.HeartbeatRequest, fleet.HeartbeatAnswer](t, f, fleet.MethodHeartbeat)
	record[fleet.LeaveRequest, fleet.Empty](t, f, fleet.MethodLeave)
	record[fleet.WatchRequest, fleet.WatchAnswer](t, f, fleet.MethodWatch)
}

func recordJobCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[fleet.SubmitRequest, fleet.SubmitAnswer](t, f, fleet.MethodSubmit)
	record[fleet.CancelRequest, fleet.JobAnswer](t, f, fleet.MethodCancel)
	record[fleet.CancelManyRequest, fleet.CancelManyAnswer](t, f, fleet.MethodCancelMany)
	record[fleet.GetJobRequest, fleet.JobAnswer](t, f, fleet.MethodGetJob)
	record[fleet.ListJobsRequest, fleet.ListJobsAnswer](t, f, fleet.MethodListJobs)
}

func recordConfigCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[fleet.ConfigRequest, fleet.ConfigAnswer](t, f, fleet.MethodGetConfig)
	record[fleet.PutConfigRequest, fleet.PutConfigAnswer](t, f, fleet.MethodPutConfig)
	record[fleet.ValidateConfigRequest, fleet.Empty](t, f, fleet.MethodValidateConfig)
	record[fleet.Empty, fleet.ConfigVersionsAnswer](t, f, fleet.MethodConfigVersions)
	record[fleet.Empty, fleet.RolloutAnswer](t, f, fleet.MethodRollout)
}

func recordOperatorCalls(t *testing.T, f *fixture) {
	t.Helper()
	record[fleet.BookingsRequest, fleet.BookingsAnswer](t, f, fleet.MethodBookings)
	record[fleet.ReleaseRequest, fleet.Empty](t, f, fleet.MethodRelease)
	record[fleet.DrainZoneRequest, fleet.Empty](t, f, fleet.MethodDrainZone)
	record[fleet.Empty, fleet.DrainsAnswer](t, f, fleet.MethodDrains)
	record[fleet.Empty, fleet.WorkersAnswer](t, f, fleet.MethodWorkers)
	record[fleet.Empty, fleet.MembersAnswer](t, f, fleet.MethodMembers)
	record[fleet.Empty, fleet.QueuesAnswer](t, f, fleet.MethodQueues)
	record[fleet.QueueRequest, fleet.QueueAnswer](t, f, fleet.MethodQueue)
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
