package admission

import "time"

// tolerance is the part of a token below which amounts count as equal.
const tolerance = 1e-6

// TokenBucket is a token bucket that holds the tokens of one second and that several
// sharers draw from. Each sharer has a guaranteed part of the rate and of the bucket,
// which a flood of the others leaves to it. While a sharer is idle its part is
// reserved once, so that it costs the others no more than that much of the bucket.
// The zero value is full.
type TokenBucket struct {
	// rate is in tokens a second; it is the size of the bucket as well.
	rate float64
	// available are the tokens in the bucket, as of refilledAt.
	available  float64
	refilledAt time.Duration
	// reserved is the part of the available tokens that is reserved for each sharer
	// that has a guarantee.
	reserved map[string]float64
}

// Take draws a token for a sharer. If there is none, it returns after how long there
// will be one. rate is in tokens a second; weights has the sharers with a guarantee.
// A sharer that is not among them may take what is reserved for nobody.
func (b *TokenBucket) Take(now time.Duration, rate float64, own string, weights map[string]int) (wait time.Duration, taken bool) {
	b.refill(now, rate, weights)
	missing := 1 - b.available
	if b.reserved[own] < 1 {
		missing += b.reservedForOthers(own)
	}
	if missing > tolerance {
		return b.timeUntil(missing, own, weights), false
	}
	b.available--
	if reserved, guaranteed := b.reserved[own]; guaranteed {
		b.reserved[own] = max(reserved-1, 0)
	}
	return 0, true
}

// Return puts back a token that was taken and not used.
func (b *TokenBucket) Return() { b.available = min(b.available+1, b.rate) }

// refill adds the tokens of the time since the last call. A change of the rate or of
// the sharers begins with a full bucket.
func (b *TokenBucket) refill(now time.Duration, rate float64, weights map[string]int) {
	if b.reserved == nil || b.rate != rate || !b.hasSameSharers(weights) {
		b.fill(now, rate, weights)
		return
	}
	passed := max(now-b.refilledAt, 0).Seconds()
	b.refilledAt = max(now, b.refilledAt)
	b.available = min(b.available+rate*passed, rate)
	for sharer := range weights {
		guarantee := b.guarantee(sharer, weights)
		b.reserved[sharer] = min(b.reserved[sharer]+guarantee*passed, guarantee)
	}
}

// fill makes the bucket a full one.
func (b *TokenBucket) fill(now time.Duration, rate float64, weights map[string]int) {
	*b = TokenBucket{rate: rate, available: rate, refilledAt: now, reserved: make(map[string]float64, len(weights))}
	for sharer := range weights {
		b.reserved[sharer] = b.guarantee(sharer, weights)
	}
}

func (b *TokenBucket) hasSameSharers(weights map[string]int) bool {
	if len(b.reserved) != len(weights) {
		return false
	}
	for sharer := range weights {
		if _, known := b.reserved[sharer]; !known {
			return false
		}
	}
	return true
}

// guarantee is a sharer's guaranteed rate in tokens a second, and the most tokens that
// are reserved for it. Less than one token would be of no use to it, and is not
// reserved.
func (b *TokenBucket) guarantee(sharer string, weights map[string]int) float64 {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	guarantee := b.rate / guaranteeDivisor * float64(weights[sharer]) / float64(total)
	if guarantee < 1 {
		return 0
	}
	return guarantee
}

func (b *TokenBucket) reservedForOthers(own string) float64 {
	sum := 0.0
	for sharer, reserved := range b.reserved {
		if sharer != own {
			sum += reserved
		}
	}
	return sum
}

// timeUntil is how long it takes until the missing tokens have come for a sharer, if
// nobody draws meanwhile. What comes goes first to the guarantees of the others,
// unless the sharer draws on its own.
func (b *TokenBucket) timeUntil(missing float64, own string, weights map[string]int) time.Duration {
	rate := b.rate
	for sharer := range weights {
		if guarantee := b.guarantee(sharer, weights); sharer != own && b.reserved[sharer] < guarantee && b.reserved[own] < 1 {
			rate -= guarantee
		}
	}
	return time.Duration(missing / rate * float64(time.Second))
}
