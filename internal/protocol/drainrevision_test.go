package protocol

import "testing"

func TestDrainRevision_TextIsParsedBack(t *testing.T) {
	want := DrainRevision{Token: 7, Order: 12}
	got, err := ParseDrainRevision(want.String())
	if err != nil || got != want {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	for _, text := range []string{"", "7", "-", "7-", "-12", "0-12", "7-x", "7--1", "7-12-3", " 7-12"} {
		if got, err := ParseDrainRevision(text); err == nil {
			t.Errorf("%q: got %+v, want an error", text, got)
		}
	}
}
