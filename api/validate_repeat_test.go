package api

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestValidateJob_RepeatNamesInvalidFields(t *testing.T) {
	first := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	cases := []struct {
		name   string
		change func(s *JobSpec)
		want   []string
	}{
		{"valid", func(*JobSpec) {}, nil},
		{"once without an interval", func(s *JobSpec) { s.Repeat.Times, s.Repeat.Interval = 1, 0 }, nil},
		{"maximum", func(s *JobSpec) { s.Repeat.Times = MaxOccurrences }, nil},
		{"too many", func(s *JobSpec) { s.Repeat.Times = MaxOccurrences + 1 }, []string{"repeat.times"}},
		{"none", func(s *JobSpec) { s.Repeat.Times = 0 }, []string{"repeat.times"}},
		{"negative", func(s *JobSpec) { s.Repeat.Times = -1 }, []string{"repeat.times"}},
		{"no first", func(s *JobSpec) { s.Repeat.First = time.Time{} }, []string{"repeat.first"}},
		{"first too late", func(s *JobSpec) { s.Repeat.First = first.AddDate(8000, 0, 0) }, []string{"repeat.first", "repeat.interval"}},
		{"no interval", func(s *JobSpec) { s.Repeat.Interval = 0 }, []string{"repeat.interval"}},
		{"negative interval", func(s *JobSpec) { s.Repeat.Times, s.Repeat.Interval = 1, -1 }, []string{"repeat.interval"}},
		{"last too late", func(s *JobSpec) { s.Repeat.Times, s.Repeat.Interval = MaxOccurrences, math.MaxInt64 }, []string{"repeat.interval"}},
		{"start time of a step", func(s *JobSpec) { s.Steps[1].NotBefore = &first }, []string{"steps[1].not_before"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := validJob()
			spec.Repeat = &RepeatSpec{Times: 3, First: first, Interval: Duration(time.Second)}
			c.change(spec)
			if got := fieldNames(ValidateJob("job-1", spec, validConfig())); !slices.Equal(got, c.want) {
				t.Fatalf("got invalid fields %v, want %v", got, c.want)
			}
		})
	}
}

func TestRepeatSpec_DueMillis(t *testing.T) {
	repeat := RepeatSpec{Times: MaxOccurrences, First: time.UnixMilli(1000), Interval: Duration(1500 * time.Microsecond)}
	for occurrence, want := range map[int]int64{0: 1000, 1: 1001, 2: 1003, 3: 1004, 99_999: 150_998} {
		if got := repeat.DueMillis(occurrence); got != want {
			t.Errorf("occurrence %d: got due time %d, want %d", occurrence, got, want)
		}
	}
	repeat.Interval = Duration(200 * 24 * time.Hour)
	if got, want := repeat.DueMillis(99_999), int64(1000+99_999*200*24*3600*1000); got != want {
		t.Errorf("last occurrence: got due time %d, want %d", got, want)
	}
}
