package rpc

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/raft"
)

// roundTrip decodes a body as a message, and checks that what was taken can be
// written and read again as the same.
type roundTrip func(t *testing.T, codec codec, body []byte)

func roundTripOf[Message any]() roundTrip {
	return func(t *testing.T, codec codec, body []byte) {
		var message, again Message
		if codec.decode(body, &message) != nil {
			return
		}
		first, err := codec.encode(message)
		if err != nil {
			t.Fatalf("%T: decoded but not encoded: %v", message, err)
		}
		if err := codec.decode(first, &again); err != nil {
			t.Fatalf("%T: encoded but not decoded: %v", message, err)
		}
		second, err := codec.encode(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%T: %x became %x, error %v", message, first, second, err)
		}
	}
}

// messages are all that passes between processes.
func messages() []roundTrip {
	return []roundTrip{
		roundTripOf[fleet.RaftRequest](), roundTripOf[fleet.SnapshotChunkRequest](), roundTripOf[fleet.SnapshotChunkAnswer](),
		roundTripOf[fleet.ArchivePageRequest](), roundTripOf[fleet.ArchivePageAnswer](), roundTripOf[fleet.IdentityAnswer](),
		roundTripOf[fleet.ReadIndexAnswer](), roundTripOf[fleet.JoinRequest](), roundTripOf[fleet.JoinAnswer](),
		roundTripOf[fleet.HeartbeatRequest](), roundTripOf[fleet.HeartbeatAnswer](),
		roundTripOf[fleet.WatchRequest](), roundTripOf[fleet.WatchAnswer](),
		roundTripOf[fleet.SubmitRequest](), roundTripOf[fleet.SubmitAnswer](), roundTripOf[fleet.CancelRequest](),
		roundTripOf[fleet.GetJobRequest](), roundTripOf[fleet.JobAnswer](),
		roundTripOf[fleet.ListJobsRequest](), roundTripOf[fleet.ListJobsAnswer](),
		roundTripOf[fleet.ConfigAnswer](), roundTripOf[fleet.PutConfigRequest](), roundTripOf[fleet.PutConfigAnswer](),
		roundTripOf[fleet.ValidateConfigRequest](), roundTripOf[fleet.ConfigVersionsAnswer](), roundTripOf[fleet.RolloutAnswer](),
		roundTripOf[fleet.WorkersAnswer](), roundTripOf[fleet.MembersAnswer](), roundTripOf[fleet.QueuesAnswer](),
		roundTripOf[fleet.BookingsRequest](), roundTripOf[fleet.BookingsAnswer](), roundTripOf[fleet.ReleaseRequest](),
		roundTripOf[fleet.CancelManyRequest](), roundTripOf[fleet.CancelManyAnswer](), roundTripOf[Error](),
	}
}

// FuzzMessages tries a body as each of the messages between processes.
func FuzzMessages(f *testing.F) {
	codec := newCodec()
	task := api.TaskSpec{Service: "s", Payload: []byte(`{"a":1}`), Labels: map[string]string{"k": "v"}}
	spec := api.JobSpec{Queue: "q", Steps: []api.StepSpec{{Name: "a", Tasks: []api.TaskSpec{task}}}}
	reference := api.RunRef{Task: "j/a/0", Run: 1}
	for _, seed := range []any{
		fleet.RaftRequest{Messages: []raft.Message{{Kind: raft.MessageAppend, From: "a", Entries: []raft.Entry{{Index: 1, Data: []byte("x")}}}}},
		fleet.SnapshotChunkRequest{From: "a", Data: []byte("x"), Last: true},
		fleet.IdentityAnswer{Member: raft.Member{ID: "a"}, InitialMembership: &raft.Membership{}},
		fleet.HeartbeatRequest{Agent: "a", Heartbeat: api.Heartbeat{WorkerID: "w", Seq: 1, Running: []api.RunRef{reference}}},
		fleet.HeartbeatAnswer{Answer: api.HeartbeatAnswer{Seq: 1, Start: []api.StartOrder{{RunRef: reference, Spec: task}}}},
		fleet.SubmitRequest{ID: "j", Spec: spec},
		fleet.PutConfigRequest{OrderID: "o", Config: api.Config{Queues: []api.QueueConfig{{Name: "q"}}}},
		fleet.WatchAnswer{Token: 1, Config: &api.Config{}},
		Error{Code: CodeRefused, API: &api.Error{Status: 400, Fields: []api.FieldError{{Field: "f"}}}},
	} {
		data, err := codec.encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	all := messages()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, try := range all {
			try(t, codec, body)
		}
	})
}
