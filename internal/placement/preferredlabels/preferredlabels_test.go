package preferredlabels

import (
	"strconv"
	"testing"
)

// rack returns the labels of a worker in that rack.
func rack(name string) map[string]string { return map[string]string{"rack": name, "zone": "z"} }

func TestSet_MatchesPreferredValueOnly(t *testing.T) {
	set := New()
	set.Record(map[string]string{"rack": "x"}, 1)
	if !set.Matches(rack("x")) || set.Matches(rack("y")) || set.Matches(nil) {
		t.Error("Matches: want true for the labels of rack x only")
	}
}

func TestSet_RefreshReportsChanges(t *testing.T) {
	set := New()
	set.Record(map[string]string{"rack": "x"}, 1)
	steps := []struct {
		name string
		call func()
		want bool
	}{
		{"label added", func() {}, true},
		{"no change", func() {}, false},
		{"known label recorded again", func() { set.Record(map[string]string{"rack": "x"}, 2) }, false},
		{"new value added", func() { set.Record(map[string]string{"rack": "y"}, 2) }, true},
	}
	for _, step := range steps {
		step.call()
		if got := set.Refresh(2); got != step.want {
			t.Errorf("%s: Refresh: got %v, want %v", step.name, got, step.want)
		}
	}
}

func TestSet_LabelExpiresAfterItsNewestTask(t *testing.T) {
	set := New()
	set.Record(map[string]string{"rack": "x"}, 1)
	set.Record(map[string]string{"rack": "x"}, 1000)
	set.Refresh(1000)
	if set.Refresh(999+TTL) || set.Len() != 1 {
		t.Error("label expired before TTL after it was last recorded")
	}
	if !set.Refresh(1000+TTL+TTL/2) || set.Len() != 0 {
		t.Error("label did not expire TTL after it was last recorded")
	}
}

func TestSet_IgnoresLabelsBeyondMax(t *testing.T) {
	set := New()
	for number := range 2 * Max {
		set.Record(map[string]string{"rack": strconv.Itoa(number)}, 1)
	}
	if set.Len() != Max {
		t.Errorf("Len: got %d, want %d", set.Len(), Max)
	}
	set.Record(map[string]string{"rack": "0"}, 1+TTL)
	set.Refresh(1 + TTL)
	if set.Len() != 1 {
		t.Errorf("Len once all other labels expired: got %d, want 1", set.Len())
	}
}
