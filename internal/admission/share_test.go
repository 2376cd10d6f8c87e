package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func TestFree_LeavesGuaranteesOfOthers(t *testing.T) {
	share := func(weight, used int) Participant { return Participant{Weight: weight, Used: used} }
	cases := []struct {
		name   string
		limit  int
		shares []Participant // Free is called for the first participant
		want   int
	}{
		{"sole participant", 100, []Participant{share(1, 0)}, 100},
		{"sole participant, nearly full", 100, []Participant{share(1, 90)}, 10},
		{"unused guarantee of another participant is not available", 100, []Participant{share(1, 10), share(1, 0)}, 65},
		{"guarantees are in proportion to the weights", 100, []Participant{share(1, 10), share(4, 0)}, 50},
		{"used guarantee is not reserved again", 100, []Participant{share(1, 10), share(1, 25)}, 65},
		{"own guarantee is available while another floods", 100, []Participant{share(1, 5), share(1, 75)}, 20},
		{"participant that uses nothing may take all that is unused", 100, []Participant{share(1, 0), share(1, 0)}, 100},
		{"full", 100, []Participant{share(1, 50), share(1, 50)}, 0},
		{"over the limit after it was lowered", 100, []Participant{share(1, 0), share(1, 120)}, 0},
		{"limit too small for any guarantee", 1, []Participant{share(1, 0), share(1, 0), share(1, 0)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Free(c.limit, 0, c.shares); got != c.want {
				t.Errorf("Free: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestFree_FloodDoesNotTakeGuarantees lets random participants take one unit at a time,
// and checks that the rest of each participant's guarantee stays available to it and that
// the limit is not exceeded.
func TestFree_FloodDoesNotTakeGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "participants")
		shares := make([]Participant, count)
		totalWeight := 0
		for index := range shares {
			shares[index].Weight = rapid.IntRange(1, 9).Draw(t, "weight")
			totalWeight += shares[index].Weight
		}
		limit := rapid.IntRange(guaranteeDivisor*totalWeight, 500).Draw(t, "limit")
		for range 2 * limit {
			taker := rapid.IntRange(0, count-1).Draw(t, "taker")
			if Free(limit, taker, shares) > 0 {
				shares[taker].Used++
			}
		}
		used := 0
		for index, share := range shares {
			used += share.Used
			if unused, free := guaranteedPart(limit, share.Weight, totalWeight)-share.Used, Free(limit, index, shares); free < unused {
				t.Fatalf("participant %d of %+v may take %d of the limit %d, want at least the %d left of its guarantee", index, shares, free, limit, unused)
			}
		}
		if used > limit {
			t.Fatalf("participants: got a total use of %d, want at most the limit %d", used, limit)
		}
	})
}

func TestCallerFree_BoundsCallerByItsShare(t *testing.T) {
	cases := []struct {
		name       string
		free, used int
		share      float64
		want       int
	}{
		{"caller uses nothing", 100, 0, 1, 100},
		{"share 1 allows as much as stays free", 100, 20, 1, 40},
		{"caller uses exactly its share", 50, 50, 1, 0},
		{"caller uses more than its share", 40, 60, 1, 0},
		{"share 2 allows twice what stays free", 100, 20, 2, 60},
		{"nothing free", 0, 0, 1, 0},
		{"free is negative", -5, 0, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := CallerFree(c.free, c.used, c.share); got != c.want {
				t.Errorf("CallerFree: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestCallerFree_FloodingCallersShareEqually checks that n flooding callers with share 1
// get 1/(n+1) of the limit each; the last such part stays free.
func TestCallerFree_FloodingCallersShareEqually(t *testing.T) {
	const limit = 1200
	for callers := 1; callers <= 5; callers++ {
		used := make([]int, callers)
		free := limit
		for range limit {
			for index := range used {
				if CallerFree(free, used[index], 1) > 0 {
					used[index]++
					free--
				}
			}
		}
		for index, count := range used {
			if want := limit / (callers + 1); count < want-1 || count > want+1 {
				t.Errorf("%d callers: caller %d: got use %d, want %d (within 1)", callers, index, count, want)
			}
		}
	}
}
