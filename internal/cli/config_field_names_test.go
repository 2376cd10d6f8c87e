package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestConfig_InvalidFieldsNameQueueAndBooking(t *testing.T) {
	const file = "queues:\n  - name: q\n  - name: r\n    bookings:\n      - {name: b, duration: 1h, slots: 9, slice: {cpu_millis: 1}}\n"
	fields := []api.FieldError{
		{Field: "queues[1].bookings[0].slots", Value: "9", Expected: "at most 4, which the registered room holds"},
		{Field: "queues[0].weight", Value: "-1", Expected: "0 to 1000"},
		{Field: "queues[1].bookings[0].name", Value: "b", Expected: "x"},
		{Field: "queues[7].bookings[0].slots", Value: "", Expected: "y"},
		{Expected: "2 more wrong fields"},
	}
	const want = "  queues[1].bookings[0].slots (booking r/b) is \"9\", expected at most 4, which the registered room holds\n" +
		"  queues[0].weight (queue q) is \"-1\", expected 0 to 1000\n" +
		"  queues[1].bookings[0].name is \"b\", expected x\n" +
		"  queues[7].bookings[0].slots is \"\", expected y\n  2 more wrong fields\n"
	replies := map[string][]reply{
		"POST /v1/config/validate": {refusalReply(422, api.CodeInvalid, fields...)},
		putConfigRoute:             {refusalReply(422, api.CodeInvalid, fields...)},
	}
	for _, arguments := range []string{"config validate -", "config apply - --base 1"} {
		got := runCommand(t, newFakeFront(t, replies), file, strings.Fields(arguments)...)
		if got.code != ExitRefused || !strings.HasSuffix(got.err, "because\n"+want) {
			t.Errorf("%s: got exit code %d, want 3 and the invalid fields with their owners; got errors:\n%s", arguments, got.code, got.err)
		}
	}
}
