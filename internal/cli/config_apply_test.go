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
		"GET /v1/config": {configAt(7)},
		putConfigRoute:   {accepted(8)},
		"GET /v1/config/rollout": {
			ok(api.Rollout{Version: 7, Complete: true}),
			ok(api.Rollout{Version: 8}),
			ok(api.Rollout{Version: 8, Complete: true}),
		},
	}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--order-id", "o", "--wait-rollout")
	assertText(t, "output", got.out, "version 8 is accepted (order o)\nevery process has it\n")
	assertText(t, "errors", got.err, "base is version 7\n")
	if puts := front.requestsTo(putConfigRoute); len(puts) != 1 || puts[0].base != `"7"` || puts[0].order != "o" {
		t.Errorf("sent %+v", puts)
	}
	if reads := len(front.requestsTo("GET /v1/config/rollout")); reads != 3 {
		t.Errorf("%d looks at the roll-out", reads)
	}
}

func TestConfigApply_GivenBaseSkipsReading(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{putConfigRoute: {accepted(1)}})
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--base", "0", "--order-id", "o", "-o", "json")
	assertText(t, "output", got.out+got.err, "{\n  \"base\": 0,\n  \"order_id\": \"o\",\n  \"version\": 1\n}\n")
}

func TestConfigApply_UnknownOutcomePrintsResendCommand(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{putConfigRoute: {refusalLater(api.CodeOutcomeUnknown)}})
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--base", "3", "--order-id", "o")
	if got.code != ExitUnavailable || !strings.HasPrefix(got.err, "to learn the outcome: decklever config apply testdata/config.json --base 3 --order-id o\n") {
		t.Fatalf("exit code %d: %s", got.code, got.err)
	}
}

func TestConfigApply_IncompleteRolloutNamesProcessesBehind(t *testing.T) {
	behind := api.Rollout{Version: 8, Processes: []api.ProcessRollout{{Process: "f1", Version: 7}, {Process: "a1", Version: 7}, {Process: "f2", Version: 8}}}
	front := newFakeFront(t, map[string][]reply{putConfigRoute: {accepted(8)}, "GET /v1/config/rollout": {ok(behind)}})
	front.sleep = func(context.Context, time.Duration) bool { return false }
	got := runCommand(t, front, "", "config", "apply", "testdata/config.json", "--base", "7", "--wait-rollout")
	assertText(t, "errors", got.err, "decklever: version 8 is accepted, but its roll-out is not complete; behind are a1, f1\n")
	if got.code != ExitUnavailable || !strings.HasPrefix(got.out, "version 8 is accepted") {
		t.Errorf("exit code %d, output %s", got.code, got.out)
	}
}
