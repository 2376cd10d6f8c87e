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

// refusedMethod is served by the tests of refusals only.
const refusedMethod protocol.Method = "refused"

func TestRefusals_EncodedAsBefore(t *testing.T) {
	apiError := filled[api.Error](t, "refusal")
	apiError.Status = 409
	lines := golden.Values{}
	for _, refusal := range []*rpc.Error{
		{Code: rpc.CodeNotLeader, Message: "not the leader", LeaderAddress: "127.0.0.1:7001"},
		{Code: rpc.CodeUnavailable, Message: "unavailable"},
		{Code: rpc.CodeUnknownOutcome, Message: "unknown"},
		{Code: rpc.CodeBadRequest, Message: "bad"},
		{Code: rpc.CodeRefused, Message: "refused", API: &apiError},
	} {
		t.Run(string(refusal.Code), func(t *testing.T) {
			seen, received := refuse(t, refusal)
			if !reflect.DeepEqual(received, refusal) {
				t.Errorf("the client read %+v, sent was %+v", received, refusal)
			}
			lines[string(refusal.Code)] = strconv.Itoa(seen.status) + " " + hex.EncodeToString(seen.answer)
		})
	}
	golden.CompareExplained(t, "testdata/refusals.txt", lines, func(text string) string {
		if len(text) < 4 {
			return text
		}
		return text[:4] + explainCBOR(text[4:])
	})
}

// refuse lets a server answer with a refusal and returns what was seen on the
// connection and what the client made of it.
func refuse(t *testing.T, refusal *rpc.Error) (exchange, *rpc.Error) {
	t.Helper()
	f := newFixture(t)
	rpc.Handle(f.server, refusedMethod, func(context.Context, protocol.Empty) (protocol.Empty, error) {
		return protocol.Empty{}, refusal
	})
	_, err := rpc.Call[protocol.Empty, protocol.Empty](t.Context(), f.client, f.address, refusedMethod, protocol.Empty{})
	var received *rpc.Error
	if !errors.As(err, &received) {
		t.Fatalf("the client returned %v, want a refusal", err)
	}
	return f.seen.last, received
}

func TestMembership_EncodedAsBefore(t *testing.T) {
	membership := filled[raft.Membership](t, "membership")
	encoded, err := raft.EncodeMembership(membership)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := raft.DecodeMembership(encoded)
	if err != nil || !reflect.DeepEqual(decoded, membership) {
		t.Errorf("read %+v and error %v, written was %+v", decoded, err, membership)
	}
	lines := golden.Values{"log entry": hex.EncodeToString(encoded)}
	golden.CompareExplained(t, "testdata/membership.txt", lines, explainCBOR)
}

// TestEnumerations_NumberedAsBefore covers the numbers that filled messages do
// not choose by themselves.
func TestEnumerations_NumberedAsBefore(t *testing.T) {
	lines := golden.Values{}
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
		lines[name] = strconv.Itoa(number)
	}
	golden.Compare(t, "testdata/enumerations.txt", lines)
}
