package cli

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

const putConfig = "PUT /v1/config"

func TestDrainsChangeTheConfigurationInForce(t *testing.T) {
	cases := []struct{ arguments, drains string }{
		{"worker drain w1 w2 w2", `"drains":{"workers":["w0","w1","w2"]}`},
		{"worker undrain w0 w9", `"drains":{}`},
		{"zone evacuate z1 z2", `"drains":{"workers":["w0"],"zones":["z1","z2"]}`},
	}
	for _, c := range cases {
		replies := fleetReplies()
		replies["GET /v1/config"] = []reply{configAt(7, "w0")}
		replies[putConfig] = []reply{accepted(8)}
		front := newFakeFront(t, replies)
		got := decklever(t, front, "", strings.Fields(c.arguments)...)
		puts := front.got(putConfig)
		if got.code != ExitOK || len(puts) != 1 || puts[0].base != `"7"` || !strings.Contains(puts[0].body, c.drains) {
			t.Errorf("%s: exit code %d, sent %+v", c.arguments, got.code, puts)
			continue
		}
		wantText(t, c.arguments, got.out, "version 8 is accepted (order "+puts[0].order+")\n")
	}
}

func TestDrainThatStandsAlreadyChangesNothing(t *testing.T) {
	for _, arguments := range []string{"worker drain w0", "worker undrain w1", "zone restore z1"} {
		replies := fleetReplies()
		replies["GET /v1/config"] = []reply{configAt(7, "w0")}
		got := decklever(t, newFakeFront(t, replies), "", strings.Fields(arguments)...)
		wantText(t, arguments, got.out, "nothing to change in version 7\n")
	}
}

func TestDrainNotesUnknownNames(t *testing.T) {
	replies := fleetReplies()
	replies[putConfig] = []reply{accepted(8)}
	got := decklever(t, newFakeFront(t, replies), "", "worker", "drain", "w1", "w7")
	wantText(t, "errors", got.err, "note: no worker of name \"w7\" is registered at present\n")
}

func TestLostRaceIsReadAgainUnderNewOrders(t *testing.T) {
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{configAt(7, "w0"), configAt(8, "w5"), configAt(9, "w6")}
	replies[putConfig] = []reply{refusal(412, api.CodeLostRace), refusal(412, api.CodeLostRace), accepted(10)}
	front := newFakeFront(t, replies)
	got := decklever(t, front, "", "worker", "drain", "w1")
	puts := front.got(putConfig)
	if got.code != ExitOK || len(puts) != 3 {
		t.Fatalf("exit code %d, sent %+v, %s", got.code, puts, got.err)
	}
	for index, workers := range []string{`["w0","w1"]`, `["w5","w1"]`, `["w6","w1"]`} {
		if base := strconv.Quote(strconv.Itoa(7 + index)); puts[index].base != base || !strings.Contains(puts[index].body, workers) {
			t.Errorf("proposal %d is %+v", index, puts[index])
		}
	}
	if puts[0].order == puts[1].order || puts[1].order == puts[2].order || puts[0].order == "" {
		t.Errorf("orders %s, %s, %s", puts[0].order, puts[1].order, puts[2].order)
	}
	want := "version 7 was replaced meanwhile; reading again\nversion 8 was replaced meanwhile; reading again\n"
	wantText(t, "errors", got.err, want)
}

func TestLostRacesAreBounded(t *testing.T) {
	replies := fleetReplies()
	replies[putConfig] = []reply{refusal(412, api.CodeLostRace)}
	front := newFakeFront(t, replies)
	got := decklever(t, front, "", "worker", "drain", "w1")
	if puts := front.got(putConfig); got.code != ExitRefused || len(puts) != maxRaces {
		t.Fatalf("exit code %d after %d proposals", got.code, len(puts))
	}
}

func TestUnknownOutcomeIsAskedForWithTheSameOrder(t *testing.T) {
	unknown := refusal(503, api.CodeOutcomeUnknown)
	for name, lost := range map[string]reply{"told unknown": unknown, "answer lost": {lost: true}} {
		t.Run(name, func(t *testing.T) {
			replies := fleetReplies()
			replies[putConfig] = []reply{lost, lost, accepted(8)}
			front := newFakeFront(t, replies)
			got := decklever(t, front, "", "zone", "evacuate", "z1")
			wantSameOrder(t, front.got(putConfig), 3)
			if got.code != ExitOK || len(front.got("GET /v1/config")) != 1 {
				t.Fatalf("exit code %d: %s", got.code, got.err)
			}
		})
	}
}

// TestUnknownOutcomeIsAskedForBeyondOneCall: with no time for a second try
// within a call, the command itself sends the order again, a bounded number
// of times, and never under another id.
func TestUnknownOutcomeIsAskedForBeyondOneCall(t *testing.T) {
	replies := fleetReplies()
	replies[putConfig] = []reply{refusalLater(api.CodeOutcomeUnknown)}
	front := newFakeFront(t, replies)
	got := decklever(t, front, "", "worker", "drain", "w1")
	wantSameOrder(t, front.got(putConfig), maxSends)
	if got.code != ExitUnavailable || strings.Count(got.err, "sending order") != maxSends-1 {
		t.Fatalf("exit code %d: %s", got.code, got.err)
	}
}

func wantSameOrder(t *testing.T, puts []received, count int) {
	t.Helper()
	if len(puts) != count {
		t.Fatalf("%d proposals, want %d", len(puts), count)
	}
	for _, put := range puts {
		if put.order != puts[0].order || put.order == "" || put.base != puts[0].base || put.body != puts[0].body {
			t.Errorf("proposal %+v after %+v", put, puts[0])
		}
	}
}

func TestApply(t *testing.T) {
	replies := map[string][]reply{
		"GET /v1/config": {configAt(7)},
		putConfig:        {accepted(8)},
		"GET /v1/config/rollout": {
			ok(api.Rollout{Version: 7, Complete: true}),
			ok(api.Rollout{Version: 8}),
			ok(api.Rollout{Version: 8, Complete: true}),
		},
	}
	front := newFakeFront(t, replies)
	got := decklever(t, front, "", "config", "apply", "testdata/config.json", "--order-id", "o", "--wait-rollout")
	wantText(t, "output", got.out, "version 8 is accepted (order o)\nevery process has it\n")
	wantText(t, "errors", got.err, "base is version 7\n")
	if puts := front.got(putConfig); len(puts) != 1 || puts[0].base != `"7"` || puts[0].order != "o" {
		t.Errorf("sent %+v", puts)
	}
	if looks := len(front.got("GET /v1/config/rollout")); looks != 3 {
		t.Errorf("%d looks at the roll-out", looks)
	}
}

func TestApplyWithBaseReadsNothing(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{putConfig: {accepted(1)}})
	got := decklever(t, front, "", "config", "apply", "testdata/config.json", "--base", "0", "--order-id", "o", "-o", "json")
	wantText(t, "output", got.out+got.err, "{\n  \"base\": 0,\n  \"order_id\": \"o\",\n  \"version\": 1\n}\n")
}

func TestApplyNamesTheOrderOfAnUnknownOutcome(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{putConfig: {refusalLater(api.CodeOutcomeUnknown)}})
	got := decklever(t, front, "", "config", "apply", "testdata/config.json", "--base", "3", "--order-id", "o")
	if got.code != ExitUnavailable || !strings.HasPrefix(got.err, "to learn the outcome: decklever config apply testdata/config.json --base 3 --order-id o\n") {
		t.Fatalf("exit code %d: %s", got.code, got.err)
	}
}

func TestRolloutThatDoesNotEnd(t *testing.T) {
	behind := api.Rollout{Version: 8, Processes: []api.ProcessRollout{{Process: "f1", Version: 7}, {Process: "a1", Version: 7}, {Process: "f2", Version: 8}}}
	front := newFakeFront(t, map[string][]reply{putConfig: {accepted(8)}, "GET /v1/config/rollout": {ok(behind)}})
	front.sleep = func(context.Context, time.Duration) bool { return false }
	got := decklever(t, front, "", "config", "apply", "testdata/config.json", "--base", "7", "--wait-rollout")
	wantText(t, "errors", got.err, "decklever: version 8 is accepted, but its roll-out is not complete; behind are a1, f1\n")
	if got.code != ExitUnavailable || !strings.HasPrefix(got.out, "version 8 is accepted") {
		t.Errorf("exit code %d, output %s", got.code, got.out)
	}
}

func TestDiff(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{"GET /v1/config": {configAt(7, "w1")}})
	got := decklever(t, front, "", "config", "diff", "testdata/config.json")
	want := "--- version 7\n+++ testdata/config.json\n@@ -1,11 +1,9 @@\n queues:\n   - name: q\n-    weight: 1\n+    weight: 4\n     caller_share: 1\n     default_allowed_failures: 3\n-drains:\n-  workers:\n-    - w1\n+drains: {}\n limits:\n   max_job_bytes: 1048576\n   max_tasks_per_job: 1000\n"
	wantText(t, "diff", got.out+got.err, want)
}
