package preferredlabels

import (
	"strconv"
	"testing"
)

// rack are the labels of a worker of that rack.
func rack(name string) map[string]string { return map[string]string{"rack": name, "zone": "z"} }

func TestSet_MatchesPreferredValueOnly(t *testing.T) {
	set := New()
	set.Record(map[string]string{"rack": "x"}, 1)
	if !set.Matches(rack("x")) || set.Matches(rack("y")) || set.Matches(nil) {
		t.Error("the set does not match the labels of rack x alone")
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
		{"a label came", func() {}, true},
		{"nothing happened", func() {}, false},
		{"a known label came again", func() { set.Record(map[string]string{"rack": "x"}, 2) }, false},
		{"a new value came", func() { set.Record(map[string]string{"rack": "y"}, 2) }, true},
	}
	for _, step := range steps {
		step.call()
		if got := set.Refresh(2); got != step.want {
			t.Errorf("%s: Refresh = %v, want %v", step.name, got, step.want)
		}
	}
}

func TestSet_LabelExpiresAfterItsNewestTask(t *testing.T) {
	set := New()
	set.Record(map[string]string{"rack": "x"}, 1)
	set.Record(map[string]string{"rack": "x"}, 1000)
	set.Refresh(1000)
	if set.Refresh(999+TTL) || set.Len() != 1 {
		t.Error("a label expired before its time")
	}
	if !set.Refresh(1000+TTL+TTL/2) || set.Len() != 0 {
		t.Error("a label did not expire")
	}
}

func TestSet_IsBounded(t *testing.T) {
	set := New()
	for number := range 2 * Max {
		set.Record(map[string]string{"rack": strconv.Itoa(number)}, 1)
	}
	if set.Len() != Max {
		t.Errorf("Len = %d, want %d", set.Len(), Max)
	}
	set.Record(map[string]string{"rack": "0"}, 1+TTL)
	set.Refresh(1 + TTL)
	if set.Len() != 1 {
		t.Errorf("Len = %d once all others expired, want 1", set.Len())
	}
}
