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
			replies["GET /v1/config"] = []reply{configAt(7, "w0")}
			replies[putConfigRoute] = []reply{accepted(8)}
			front := newFakeFront(t, replies)
			got := runCommand(t, front, "", strings.Fields(c.arguments)...)
			puts := front.requestsTo(putConfigRoute)
			if got.code != ExitOK || len(puts) != 1 || puts[0].base != `"7"` || !strings.Contains(puts[0].body, c.drains) {
				t.Errorf("%s: exit code %d, sent %+v", c.arguments, got.code, puts)
				return
			}
			assertText(t, c.arguments, got.out, "version 8 is accepted (order "+puts[0].order+")\n")
		})
	}
}

func TestConfigDrains_RepeatedDrainChangesNothing(t *testing.T) {
	for _, arguments := range []string{"worker drain w0", "worker undrain w1", "zone restore z1"} {
		replies := fleetReplies()
		replies["GET /v1/config"] = []reply{configAt(7, "w0")}
		got := runCommand(t, newFakeFront(t, replies), "", strings.Fields(arguments)...)
		assertText(t, arguments, got.out, "nothing to change in version 7\n")
	}
}

func TestConfigDrains_UnregisteredNameIsReported(t *testing.T) {
	replies := fleetReplies()
	replies[putConfigRoute] = []reply{accepted(8)}
	got := runCommand(t, newFakeFront(t, replies), "", "worker", "drain", "w1", "w7")
	assertText(t, "errors", got.err, "note: no worker of name \"w7\" is registered at present\n")
}

func TestConfigDrains_LostRaceRetriesOnNewBaseWithNewOrderID(t *testing.T) {
	replies := fleetReplies()
	replies["GET /v1/config"] = []reply{configAt(7, "w0"), configAt(8, "w5"), configAt(9, "w6")}
	replies[putConfigRoute] = []reply{refusal(412, api.CodeLostRace), refusal(412, api.CodeLostRace), accepted(10)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "worker", "drain", "w1")
	puts := front.requestsTo(putConfigRoute)
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
	assertText(t, "errors", got.err, want)
}

func TestConfigDrains_LostRacesAreBounded(t *testing.T) {
	replies := fleetReplies()
	replies[putConfigRoute] = []reply{refusal(412, api.CodeLostRace)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "worker", "drain", "w1")
	if puts := front.requestsTo(putConfigRoute); got.code != ExitRefused || len(puts) != maxChangeAttempts {
		t.Fatalf("exit code %d after %d proposals", got.code, len(puts))
	}
}

func TestConfigDrains_UnknownOutcomeRetriesWithSameOrderID(t *testing.T) {
	unknown := refusal(503, api.CodeOutcomeUnknown)
	for name, lost := range map[string]reply{"told unknown": unknown, "answer lost": {lost: true}} {
		t.Run(name, func(t *testing.T) {
			replies := fleetReplies()
			replies[putConfigRoute] = []reply{lost, lost, accepted(8)}
			front := newFakeFront(t, replies)
			got := runCommand(t, front, "", "zone", "evacuate", "z1")
			assertSameOrder(t, front.requestsTo(putConfigRoute), 3)
			if got.code != ExitOK || len(front.requestsTo("GET /v1/config")) != 1 {
				t.Fatalf("exit code %d: %s", got.code, got.err)
			}
		})
	}
}

// TestConfigDrains_UnknownOutcomeRetriesBeyondOneRequest: with no time for a second try
// within a call, the command itself sends the order again, a bounded number
// of times, and never under another id.
func TestConfigDrains_UnknownOutcomeRetriesBeyondOneRequest(t *testing.T) {
	replies := fleetReplies()
	replies[putConfigRoute] = []reply{refusalLater(api.CodeOutcomeUnknown)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "worker", "drain", "w1")
	assertSameOrder(t, front.requestsTo(putConfigRoute), maxProposalAttempts)
	if got.code != ExitUnavailable || strings.Count(got.err, "sending order") != maxProposalAttempts-1 {
		t.Fatalf("exit code %d: %s", got.code, got.err)
	}
}

func assertSameOrder(t *testing.T, puts []received, count int) {
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
