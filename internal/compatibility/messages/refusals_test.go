package messages

import (
	"context"
	"encoding/hex"
	"errors"
	"reflect"
	"strconv"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/compatibility/golden"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// refusedMethod is a method that only the tests of errors serve.
const refusedMethod protocol.Method = "refused"

func TestRefusals_EncodedAsBefore(t *testing.T) {
	apiError := filled[api.Error](t, "refusal")
	apiError.Status = 409
	got := golden.Values{}
	for _, refusal := range []*rpc.Error{
		{Code: rpc.CodeNotLeader, Message: "not the leader", LeaderAddress: "127.0.0.1:7001"},
		{Code: rpc.CodeUnavailable, Message: "unavailable"},
		{Code: rpc.CodeUnknownOutcome, Message: "unknown"},
		{Code: rpc.CodeBadRequest, Message: "bad"},
		{Code: rpc.CodeRefused, Message: "refused", API: &apiError},
	} {
		t.Run(string(refusal.Code), func(t *testing.T) {
			sent, received := refuse(t, refusal)
			if !reflect.DeepEqual(received, refusal) {
				t.Errorf("client got %+v, want %+v", received, refusal)
			}
			got[string(refusal.Code)] = strconv.Itoa(sent.status) + " " + hex.EncodeToString(sent.answer)
		})
	}
	golden.CompareExplained(t, "testdata/refusals.txt", got, func(text string) string {
		if len(text) < 4 {
			return text
		}
		return text[:4] + explainCBOR(text[4:])
	})
}

// refuse calls a server that answers with refusal, and returns the exchange on the
// connection and the error that the client returned.
func refuse(t *testing.T, refusal *rpc.Error) (exchange, *rpc.Error) {
	t.Helper()
	f := newFixture(t)
	rpc.Handle(f.server, refusedMethod, func(context.Context, protocol.Empty) (protocol.Empty, error) {
		return protocol.Empty{}, refusal
	})
	_, err := rpc.Call[protocol.Empty, protocol.Empty](t.Context(), f.client, f.address, refusedMethod, protocol.Empty{})
	var received *rpc.Error
	if !errors.As(err, &received) {
		t.Fatalf("client got error %v, want an *rpc.Error", err)
	}
	return f.recorder.last, received
}

func TestMembership_EncodedAsBefore(t *testing.T) {
	membership := filled[raft.Membership](t, "membership")
	encoded, err := raft.EncodeMembership(membership)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := raft.DecodeMembership(encoded)
	if err != nil || !reflect.DeepEqual(decoded, membership) {
		t.Errorf("got %+v and error %v, want %+v", decoded, err, membership)
	}
	got := golden.Values{"log entry": hex.EncodeToString(encoded)}
	golden.CompareExplained(t, "testdata/membership.txt", got, explainCBOR)
}

// TestEnumerations_NumberedAsBefore compares the numbers of the raft enumerations.
// Filled messages have arbitrary numbers in these fields and do not cover them.
func TestEnumerations_NumberedAsBefore(t *testing.T) {
	got := golden.Values{}
	for name, number := range map[string]int{
		"entry command":          int(raft.EntryCommand),
		"entry no-op":            int(raft.EntryNoop),
		"entry membership":       int(raft.EntryMembership),
		"message pre-vote":       int(raft.MessagePreVote),
		"message pre-vote reply": int(raft.MessagePreVoteResponse),
		"message vote":           int(raft.MessageVote),
		"message vote reply":     int(raft.MessageVoteResponse),
		"message append":         int(raft.MessageAppend),
		"message append reply":   int(raft.MessageAppendResponse),
		"message snapshot":       int(raft.MessageSnapshot),
		"message timeout now":    int(raft.MessageTimeoutNow),
	} {
		got[name] = strconv.Itoa(number)
	}
	golden.Compare(t, "testdata/enumerations.txt", got)
}
