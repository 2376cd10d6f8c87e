package admission

import "time"

// TokenBucket is a token bucket of one second's worth that several parts draw from.
// Each has a guaranteed part of the rate and of the bucket that a flood of the
// others leaves to it; it is kept while the part is silent and costs the others
// nothing but that much of the bucket. The zero value is full.
type TokenBucket struct {
	rate, available float64
	refilledAt      time.Duration
	// reserved is what is guaranteed to each part and was not drawn.
	reserved map[string]float64
}

// Take draws a token for a part. Without one, it says after what time there will
// be one. rate is in tokens a second; weights names the parts that have something
// guaranteed.
func (t *TokenBucket) Take(now time.Duration, rate float64, own string, weights map[string]int) (wait time.Duration, taken bool) {
	t.refill(now, rate, weights)
	missing := 1 - t.available
	if t.reserved[own] < 1 {
		missing += t.reservedForOthers(own)
	}
	if missing > tolerance {
		return t.timeUntil(missing, own, weights), false
	}
	t.available--
	if reserved, known := t.reserved[own]; known {
		t.reserved[own] = max(reserved-1, 0)
	}
	return 0, true
}

// tolerance is the part of a token below which amounts count as equal.
const tolerance = 1e-6

// Return puts a token back.
func (t *TokenBucket) Return() { t.available = min(t.available+1, t.rate) }

// refill adds what has come since the last call. A changed rate or part begins
// with a full bucket.
func (t *TokenBucket) refill(now time.Duration, rate float64, weights map[string]int) {
	if t.reserved == nil || t.rate != rate || !t.hasSameSharers(weights) {
		*t = TokenBucket{rate: rate, available: rate, refilledAt: now, reserved: make(map[string]float64, len(weights))}
		for part := range weights {
			t.reserved[part] = t.guarantee(part, weights)
		}
		return
	}
	passed := max(now-t.refilledAt, 0).Seconds()
	t.refilledAt = max(now, t.refilledAt)
	t.available = min(t.available+rate*passed, rate)
	for part := range weights {
		guarantee := t.guarantee(part, weights)
		t.reserved[part] = min(t.reserved[part]+guarantee*passed, guarantee)
	}
}

func (t *TokenBucket) hasSameSharers(weights map[string]int) bool {
	if len(t.reserved) != len(weights) {
		return false
	}
	for part := range weights {
		if _, known := t.reserved[part]; !known {
			return false
		}
	}
	return true
}

// guarantee is a part's own rate in tokens a second, and the most kept for it. Less
// than a whole token would be of no use to it, and is not kept from the others.
func (t *TokenBucket) guarantee(part string, weights map[string]int) float64 {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	guarantee := t.rate / guaranteeDivisor * float64(weights[part]) / float64(total)
	if guarantee < 1 {
		return 0
	}
	return guarantee
}

func (t *TokenBucket) reservedForOthers(own string) float64 {
	sum := 0.0
	for part, reserved := range t.reserved {
		if part != own {
			sum += reserved
		}
	}
	return sum
}

// timeUntil is how long until what is missing has come, if nobody draws meanwhile.
// What the others are owed comes first.
func (t *TokenBucket) timeUntil(missing float64, own string, weights map[string]int) time.Duration {
	rate := t.rate
	for part := range weights {
		if guarantee := t.guarantee(part, weights); part != own && t.reserved[part] < guarantee && t.reserved[own] < 1 {
			rate -= guarantee
		}
	}
	return time.Duration(missing / rate * float64(time.Second))
}
