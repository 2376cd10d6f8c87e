package api

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestDigest_IgnoresJSONFormatting(t *testing.T) {
	digest := func(payload, notBefore string) string {
		body := fmt.Sprintf(`{"queue":"q","steps":[{"name":"a","not_before":%q,"tasks":[{"service":"s","payload":%s,"resources":{"cpu_millis":1}}]}]}`, notBefore, payload)
		var spec JobSpec
		if err := DecodeStrict(strings.NewReader(body), &spec); err != nil {
			t.Fatal(err)
		}
		return spec.Digest()
	}
	base := digest(`{"a":1,"b":[1.50,{"x":1,"y":2}]}`, "2026-01-31T14:00:00Z")
	if len(base) != 64 {
		t.Fatalf("got digest %q, want 64 hexadecimal digits", base)
	}
	if same := digest(" { \"b\" : [1.50, {\"y\":2,\n\"x\":1}], \"a\":1 }", "2026-01-31T15:00:00+01:00"); same != base {
		t.Error("white space, key order or time zone changed the digest")
	}
	withJobPayload := func(payload string) string {
		return JobSpec{Queue: "q", Payload: []byte(payload)}.Digest()
	}
	if withJobPayload(`{"a":1,"b":2}`) != withJobPayload(` {"b":2, "a":1}`) || withJobPayload("null") != withJobPayload("") {
		t.Error("white space, key order or a null of the job's payload changed the digest")
	}
	if withJobPayload(`{"a":1}`) == withJobPayload(`{"a":2}`) {
		t.Error("different payloads of the job have the same digest")
	}
	firstAt := func(first time.Time) string {
		return JobSpec{Queue: "q", Repeat: &RepeatSpec{Times: 2, First: first, Interval: Duration(time.Second)}}.Digest()
	}
	first := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	if firstAt(first) != firstAt(first.In(time.FixedZone("", 3600))) || firstAt(first) == firstAt(first.Add(1)) {
		t.Error("the time zone of Repeat.First changed the digest, or a different instant did not")
	}
	if digest(`{"a":2,"b":[1.50,{"x":1,"y":2}]}`, "2026-01-31T14:00:00Z") == base {
		t.Error("different payloads of a task have the same digest")
	}
	if digest(`12345678901234567890`, "2026-01-31T14:00:00Z") == digest(`12345678901234567891`, "2026-01-31T14:00:00Z") {
		t.Error("payloads that differ in the last digit of a large number have the same digest")
	}
}
