package cli

import (
	"strconv"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

const putConfigRoute = "PUT /v1/config"

func TestConfigDrains_ChangeConfigurationInForce(t *testing.T) {
	cases := []struct{ arguments, drains string }{
		{"worker drain w1 w2 w2", `"drains":{"workers":["w0","w1","w2"]}`},
		{"worker undrain w0 w9", `"drains":{}`},
		{"zone evacuate z1 z2", `"drains":{"workers":["w0"],"zones":["z1","z2"]}`},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			replies := fleetReplies()
			replies["GET /v1/config"] = []reply{configReply(7, "w0")}
			replies[putConfigRoute] = []reply{acceptedReply(8)}
			front := newFakeFront(t, replies)
			got := runCommand(t, front, "", strings.Fields(c.arguments)...)
			puts := front.requestsTo(putConfigRoute)
			if got.code != ExitOK || len(puts) != 1 || puts[0].ifMatch != `"7"` || !strings.Contains(puts[0].body, c.drains) {
				t.Errorf("%s: got exit code %d and proposals %+v, want exit code 0 and one proposal on base 7 with the changed drains", c.arguments, got.code, puts)
				return
			}
			assertText(t, c.arguments, got.out, "version 8 is accepted (order "+puts[0].idempotencyKey+")\n")
		})
	}
}

func TestConfigDrains_RepeatedDrainChangesNothing(t *testing.T) {
	for _, arguments := range []string{"worker drain w0", "worker undrain w1", "zone restore z1"} {
		replies := fleetReplies()
		replies["GET /v1/config"] = []reply{configReply(7, "w0")}
		got := runCommand(t, newFakeFront(t, replies), "", strings.Fields(arguments)...)
		assertText(t, arguments, got.out, "nothing to change in version 7\n")
	}
}

func TestConfigDrains_UnregisteredNameIsReported(t *testing.T) {
	replies := fleetReplies()
	replies[putConfigRoute] = []reply{acceptedReply(8)}
	got := runCommand(t, newFakeFront(t, replies), "", "worker", "drain", "w1", "w7")
	assertText(t, "errors", got.err, "note: no worker of name \"w7\" is registered at present\n")
}

func TestConfigDrains_LostRaceRetriesOnNewBaseWithNewOrderID(t *testing.T) {
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{configReply(7, "w0"), configReply(8, "w5"), configReply(9, "w6")}
	replies[putConfigRoute] = []reply{refusalReply(412, api.CodeLostRace), refusalReply(412, api.CodeLostRace), acceptedReply(10)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "worker", "drain", "w1")
	puts := front.requestsTo(putConfigRoute)
	if got.code != ExitOK || len(puts) != 3 {
		t.Fatalf("got exit code %d, proposals %+v and errors %s, want exit code 0 and 3 proposals", got.code, puts, got.err)
	}
	for index, workers := range []string{`["w0","w1"]`, `["w5","w1"]`, `["w6","w1"]`} {
		if base := strconv.Quote(strconv.Itoa(7 + index)); puts[index].ifMatch != base || !strings.Contains(puts[index].body, workers) {
			t.Errorf("proposal %d: got %+v, want the base and the drains of the configuration read before it", index, puts[index])
		}
	}
	if puts[0].idempotencyKey == puts[1].idempotencyKey || puts[1].idempotencyKey == puts[2].idempotencyKey || puts[0].idempotencyKey == "" {
		t.Errorf("got order ids %s, %s and %s, want a new one for each base", puts[0].idempotencyKey, puts[1].idempotencyKey, puts[2].idempotencyKey)
	}
	want := "version 7 was replaced meanwhile; reading again\nversion 8 was replaced meanwhile; reading again\n"
	assertText(t, "errors", got.err, want)
}

func TestConfigDrains_LostRacesAreBounded(t *testing.T) {
	replies := fleetReplies()
	replies[putConfigRoute] = []reply{refusalReply(412, api.CodeLostRace)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "worker", "drain", "w1")
	if puts := front.requestsTo(putConfigRoute); got.code != ExitRefused || len(puts) != maxChangeAttempts {
		t.Fatalf("got exit code %d after %d proposals, want exit code 3 after the maximum number of proposals", got.code, len(puts))
	}
}

func TestConfigDrains_UnknownOutcomeRetriesWithSameOrderID(t *testing.T) {
	unknown := refusalReply(503, api.CodeOutcomeUnknown)
	for name, failure := range map[string]reply{"outcome unknown": unknown, "connection lost": {dropConnection: true}} {
		t.Run(name, func(t *testing.T) {
			replies := fleetReplies()
			replies[putConfigRoute] = []reply{failure, failure, acceptedReply(8)}
			front := newFakeFront(t, replies)
			got := runCommand(t, front, "", "zone", "evacuate", "z1")
			assertSameOrder(t, front.requestsTo(putConfigRoute), 3)
			if got.code != ExitOK || len(front.requestsTo("GET /v1/config")) != 1 {
				t.Fatalf("got exit code %d and errors %s, want exit code 0 and one read of the configuration", got.code, got.err)
			}
		})
	}
}

// TestConfigDrains_UnknownOutcomeRetriesBeyondOneRequest guards against a
// proposal that is not retried, is retried without limit or gets a new order id
// when the client gives up after one attempt: the Retry-After of the answer is
// longer than the time left, so the command itself has to send it again.
func TestConfigDrains_UnknownOutcomeRetriesBeyondOneRequest(t *testing.T) {
	replies := fleetReplies()
	replies[putConfigRoute] = []reply{unavailableReply(api.CodeOutcomeUnknown)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "worker", "drain", "w1")
	assertSameOrder(t, front.requestsTo(putConfigRoute), maxProposalAttempts)
	if got.code != ExitUnavailable || strings.Count(got.err, "sending order") != maxProposalAttempts-1 {
		t.Fatalf("got exit code %d and errors %s, want exit code 4 and a notice for each retry", got.code, got.err)
	}
}

func assertSameOrder(t *testing.T, puts []receivedRequest, count int) {
	t.Helper()
	if len(puts) != count {
		t.Fatalf("got %d proposals, want %d", len(puts), count)
	}
	for _, put := range puts {
		if put.idempotencyKey != puts[0].idempotencyKey || put.idempotencyKey == "" || put.ifMatch != puts[0].ifMatch || put.body != puts[0].body {
			t.Errorf("got proposal %+v after %+v, want the same order id, base and body", put, puts[0])
		}
	}
}
