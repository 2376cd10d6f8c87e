package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func TestFree_LeavesGuaranteesOfOthers(t *testing.T) {
	share := func(weight, used int) Share { return Share{Weight: weight, Used: used} }
	cases := []struct {
		name   string
		limit  int
		shares []Share // the first one asks
		want   int
	}{
		{"alone", 100, []Share{share(1, 0)}, 100},
		{"alone and nearly full", 100, []Share{share(1, 90)}, 10},
		{"leaves what is guaranteed to another", 100, []Share{share(1, 10), share(1, 0)}, 65},
		{"by weight", 100, []Share{share(1, 10), share(4, 0)}, 50},
		{"a guarantee in use is not reserved again", 100, []Share{share(1, 10), share(1, 25)}, 65},
		{"a flood leaves the guarantee", 100, []Share{share(1, 5), share(1, 75)}, 20},
		{"a participant without use may take all that is unused", 100, []Share{share(1, 0), share(1, 0)}, 100},
		{"full", 100, []Share{share(1, 50), share(1, 50)}, 0},
		{"over the limit after it was lowered", 100, []Share{share(1, 0), share(1, 120)}, 0},
		{"too small to guarantee anything", 1, []Share{share(1, 0), share(1, 0), share(1, 0)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Free(c.limit, 0, c.shares); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// TestFree_FloodDoesNotTakeGuarantees: whatever some participants take one by one, the
// guarantees of the others are free, and the limit holds.
func TestFree_FloodDoesNotTakeGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "participants")
		shares := make([]Share, count)
		weights := 0
		for index := range shares {
			shares[index].Weight = rapid.IntRange(1, 9).Draw(t, "weight")
			weights += shares[index].Weight
		}
		limit := rapid.IntRange(guaranteeDivisor*weights, 500).Draw(t, "limit")
		for range 2 * limit {
			taker := rapid.IntRange(0, count-1).Draw(t, "taker")
			if Free(limit, taker, shares) > 0 {
				shares[taker].Used++
			}
		}
		used := 0
		for index, share := range shares {
			used += share.Used
			if unused, free := guaranteedTo(limit, share.Weight, weights)-share.Used, Free(limit, index, shares); free < unused {
				t.Fatalf("participant %d of %+v may take %d of %d, and is guaranteed %d more", index, shares, free, limit, unused)
			}
		}
		if used > limit {
			t.Fatalf("%d of %d are used", used, limit)
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
		{"uses nothing", 100, 0, 1, 100},
		{"as much as is free", 100, 20, 1, 40},
		{"has its share", 50, 50, 1, 0},
		{"has more than its share", 40, 60, 1, 0},
		{"twice what is free", 100, 20, 2, 60},
		{"nothing is free", 0, 0, 1, 0},
		{"less than nothing is free", -5, 0, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := CallerFree(c.free, c.used, c.share); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// TestCallerFree_FloodingCallersShareEqually: n callers that flood get one part in n+1
// each, and one part stays free.
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
				t.Errorf("of %d callers, number %d uses %d, want %d", callers, index, count, want)
			}
		}
	}
}
