package cli

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestConfigApply_WaitsForRollout(t *testing.T) {
	replies := map[string][]reply{
		"GET /v1/config": {configReply(7)},
		putConfigRoute:   {acceptedReply(8)},
		"GET /v1/config/rollout": {
			okReply(api.Rollout{Version: 7, Complete: true}),
			okReply(api.Rollout{Version: 8}),
			okReply(api.Rollout{Version: 8, Complete: true}),
		},
	}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--order-id", "o", "--wait-rollout")
	assertText(t, "output", got.out, "version 8 is accepted (order o)\nevery process has it\n")
	assertText(t, "errors", got.err, "base is version 7\n")
	if puts := front.requestsTo(putConfigRoute); len(puts) != 1 || puts[0].ifMatch != `"7"` || puts[0].idempotencyKey != "o" {
		t.Errorf("got proposals %+v, want one with base 7 and order id o", puts)
	}
	if reads := len(front.requestsTo("GET /v1/config/rollout")); reads != 3 {
		t.Errorf("got %d reads of the roll-out, want 3", reads)
	}
}

func TestConfigApply_GivenBaseSkipsReading(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{putConfigRoute: {acceptedReply(1)}})
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--base", "0", "--order-id", "o", "-o", "json")
	assertText(t, "output", got.out+got.err, "{\n  \"base\": 0,\n  \"order_id\": \"o\",\n  \"version\": 1\n}\n")
}

func TestConfigApply_UnknownOutcomePrintsResendCommand(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{putConfigRoute: {unavailableReply(api.CodeOutcomeUnknown)}})
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--base", "3", "--order-id", "o")
	if got.code != ExitUnavailable || !strings.HasPrefix(got.err, "to learn the outcome: decklever config apply testdata/config.json --base 3 --order-id o\n") {
		t.Fatalf("got exit code %d and errors %s, want exit code 4 and the command to send again", got.code, got.err)
	}
}

func TestConfigApply_IncompleteRolloutNamesProcessesBehind(t *testing.T) {
	behind := api.Rollout{Version: 8, Processes: []api.ProcessRollout{{Process: "f1", Version: 7}, {Process: "a1", Version: 7}, {Process: "f2", Version: 8}}}
	front := newFakeFront(t, map[string][]reply{putConfigRoute: {acceptedReply(8)}, "GET /v1/config/rollout": {okReply(behind)}})
	front.sleep = func(context.Context, time.Duration) bool { return false }
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--base", "7", "--wait-rollout")
	assertText(t, "errors", got.err, "decklever: version 8 is accepted, but its roll-out is not complete; behind are a1, f1\n")
	if got.code != ExitUnavailable || !strings.HasPrefix(got.out, "version 8 is accepted") {
		t.Errorf("got exit code %d and output %s, want exit code 4 and version 8 accepted", got.code, got.out)
	}
}
