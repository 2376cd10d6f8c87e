package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTokenBucket_SoleParticipantTakesFullBucket(t *testing.T) {
	var bucket TokenBucket
	weights := map[string]int{"q": 3}
	taken := 0
	for range 20 {
		if _, ok := bucket.Take(0, 5, "q", weights); ok {
			taken++
		}
	}
	if taken != 5 {
		t.Errorf("got %d tokens at once, want 5", taken)
	}
	wait, ok := bucket.Take(0, 5, "q", weights)
	if ok || wait != 200*time.Millisecond {
		t.Errorf("Take from the empty bucket: got %v, %v, want 200ms, false", wait, ok)
	}
	if _, ok := bucket.Take(200*time.Millisecond, 5, "q", weights); !ok {
		t.Error("got no token after the returned wait")
	}
}

// TestTokenBucket_FloodDoesNotDelayOthers checks that "steady", which draws at less than
// its guarantee, always gets a token while "flood" draws at over ten times the rate.
func TestTokenBucket_FloodDoesNotDelayOthers(t *testing.T) {
	var bucket TokenBucket
	weights := map[string]int{"flood": 1, "steady": 1, "idle": 2}
	const rate, seconds = 80, 10
	flood := 0
	for step := range seconds * 1000 {
		now := time.Duration(step) * time.Millisecond
		if _, ok := bucket.Take(now, rate, "flood", weights); ok {
			flood++
		}
		if step%100 != 0 {
			continue
		}
		if wait, ok := bucket.Take(now, rate, "steady", weights); !ok {
			t.Fatalf("steady: got no token at %v but a wait of %v, want a token at once", now, wait)
		}
	}
	// The guarantee of the idle participant is reserved once, not again in each second.
	least, most := rate*seconds-10*seconds, rate*(seconds+1)-10*seconds
	if flood < least || flood > most {
		t.Errorf("flood got %d tokens, want %d to %d", flood, least, most)
	}
}

// TestTokenBucket_TokenAvailableAfterReturnedWait checks that a participant that got no
// token gets one after the returned wait, if nobody draws meanwhile.
func TestTokenBucket_TokenAvailableAfterReturnedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket TokenBucket
		weights := map[string]int{"a": 1, "b": rapid.IntRange(1, 5).Draw(t, "weight"), "c": 2}
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		now := time.Duration(0)
		for range 100 {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond
			participant := rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(t, "participant")
			wait, taken := bucket.Take(now, rate, participant, weights)
			if taken {
				continue
			}
			if wait <= 0 || wait > 3*time.Second {
				t.Fatalf("%s: got a wait of %v, want more than 0 and at most 3s", participant, wait)
			}
			now += wait + time.Millisecond
			if again, taken := bucket.Take(now, rate, participant, weights); !taken {
				t.Fatalf("%s: got no token after the returned wait of %v but a further wait of %v, want a token: %+v", participant, wait, again, bucket)
			}
		}
	})
}

func TestTokenBucket_ReturnedTokenIsAvailable(t *testing.T) {
	var bucket TokenBucket
	for range 10 {
		if _, ok := bucket.Take(0, 1, "q", map[string]int{"q": 1}); !ok {
			t.Fatal("got no token although each token was returned")
		}
		bucket.Return()
	}
}
