package rpc

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
)

// roundTrip decodes a body as a message. If that succeeds, it checks that the message keeps
// its encoding when it is encoded, decoded and encoded again.
type roundTrip func(t *testing.T, codec codec, body []byte)

// roundTripOf returns the round trip of a message type.
func roundTripOf[Message any]() roundTrip {
	return func(t *testing.T, codec codec, body []byte) {
		t.Helper()
		var message, again Message
		if codec.decode(body, &message) != nil {
			return
		}
		first, err := codec.encode(message)
		if err != nil {
			t.Fatalf("encode a decoded %T: %v", message, err)
		}
		if err := codec.decode(first, &again); err != nil {
			t.Fatalf("decode an encoded %T: %v", message, err)
		}
		second, err := codec.encode(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%T: got %x first and %x again, error %v; want equal encodings", message, first, second, err)
		}
	}
}

// messageRoundTrips returns the round trip of each message type.
func messageRoundTrips() []roundTrip {
	return []roundTrip{
		roundTripOf[protocol.RaftRequest](), roundTripOf[protocol.SnapshotChunkRequest](), roundTripOf[protocol.SnapshotChunkAnswer](),
		roundTripOf[protocol.ArchivePageRequest](), roundTripOf[protocol.ArchivePageAnswer](), roundTripOf[protocol.IdentityAnswer](),
		roundTripOf[protocol.ReadIndexAnswer](), roundTripOf[protocol.JoinRequest](), roundTripOf[protocol.JoinAnswer](),
		roundTripOf[protocol.HeartbeatRequest](), roundTripOf[protocol.HeartbeatAnswer](),
		roundTripOf[protocol.WatchRequest](), roundTripOf[protocol.WatchAnswer](),
		roundTripOf[protocol.SubmitRequest](), roundTripOf[protocol.SubmitAnswer](), roundTripOf[protocol.CancelRequest](),
		roundTripOf[protocol.GetJobRequest](), roundTripOf[protocol.JobAnswer](),
		roundTripOf[protocol.ListJobsRequest](), roundTripOf[protocol.ListJobsAnswer](),
		roundTripOf[protocol.ConfigAnswer](), roundTripOf[protocol.PutConfigRequest](), roundTripOf[protocol.PutConfigAnswer](),
		roundTripOf[protocol.ValidateConfigRequest](), roundTripOf[protocol.ConfigVersionsAnswer](), roundTripOf[protocol.RolloutAnswer](),
		roundTripOf[protocol.WorkersAnswer](), roundTripOf[protocol.MembersAnswer](), roundTripOf[protocol.QueuesAnswer](),
		roundTripOf[protocol.BookingsRequest](), roundTripOf[protocol.BookingsAnswer](), roundTripOf[protocol.ReleaseRequest](),
		roundTripOf[protocol.CancelManyRequest](), roundTripOf[protocol.CancelManyAnswer](), roundTripOf[Error](),
	}
}

// FuzzMessages checks the round trip of each message type with the same body.
func FuzzMessages(f *testing.F) {
	codec := newCodec()
	task := api.TaskSpec{Service: "s", Payload: []byte(`{"a":1}`), Labels: map[string]string{"k": "v"}}
	spec := api.JobSpec{Queue: "q", Steps: []api.StepSpec{{Name: "a", Tasks: []api.TaskSpec{task}}}}
	reference := api.RunRef{Task: "j/a/0", Run: 1}
	for _, seed := range []any{
		protocol.RaftRequest{Messages: []raft.Message{{Kind: raft.MessageAppend, From: "a", Entries: []raft.Entry{{Index: 1, Data: []byte("x")}}}}},
		protocol.SnapshotChunkRequest{From: "a", Data: []byte("x"), Last: true},
		protocol.IdentityAnswer{Member: raft.Member{ID: "a"}, InitialMembership: &raft.Membership{}},
		protocol.HeartbeatRequest{Agent: "a", Heartbeat: api.Heartbeat{WorkerID: "w", Seq: 1, Running: []api.RunRef{reference}}},
		protocol.HeartbeatAnswer{Answer: api.HeartbeatAnswer{Seq: 1, Start: []api.StartOrder{{RunRef: reference, Spec: task}}}},
		protocol.SubmitRequest{ID: "j", Spec: spec},
		protocol.PutConfigRequest{OrderID: "o", Config: api.Config{Queues: []api.QueueConfig{{Name: "q"}}}},
		protocol.WatchAnswer{Token: 1, Config: &api.Config{}},
		Error{Code: CodeRefused, API: &api.Error{Status: 400, Fields: []api.FieldError{{Field: "f"}}}},
	} {
		data, err := codec.encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	all := messageRoundTrips()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, check := range all {
			check(t, codec, body)
		}
	})
}
