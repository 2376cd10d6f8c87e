package admission

import "time"

// tokenTolerance is the shortfall, in tokens, up to which a token counts as available. It
// absorbs rounding errors.
const tokenTolerance = 1e-6

// TokenBucket is a token bucket that several participants draw from. It holds at most the
// tokens of one second. Each participant has a guaranteed part of the rate and of the
// bucket, which stays available to it however much the others draw. The tokens that are
// reserved for an idle participant do not grow beyond its guarantee for one second, so
// that it costs the others no more than that part of the bucket. The zero value is a full
// bucket.
type TokenBucket struct {
	// rate is in tokens per second. It is also the capacity of the bucket, in tokens.
	rate float64
	// available is the number of tokens in the bucket at the time refilledAt.
	available  float64
	refilledAt time.Duration
	// reserved is the number of the available tokens that are reserved for each
	// participant in the weights, by its name.
	reserved map[string]float64
}

// Take draws a token for the participant taker. If none is available to it, Take returns
// false and after how long one will be, provided that nobody draws a token meanwhile. rate
// is in tokens per second; weights has the weight of each participant with a guarantee. A
// taker without a guarantee gets only tokens that are not reserved.
func (b *TokenBucket) Take(now time.Duration, rate float64, taker string, weights map[string]int) (wait time.Duration, taken bool) {
	b.refill(now, rate, weights)
	missing := 1 - b.available
	if b.reserved[taker] < 1 {
		missing += b.reservedForOthers(taker)
	}
	if missing > tokenTolerance {
		return b.timeUntilAvailable(missing, taker, weights), false
	}
	b.available--
	if reserved, guaranteed := b.reserved[taker]; guaranteed {
		b.reserved[taker] = max(reserved-1, 0)
	}
	return 0, true
}

// Return puts back a token that was taken but not used. It is not reserved for anyone.
func (b *TokenBucket) Return() { b.available = min(b.available+1, b.rate) }

// refill adds the tokens for the time since the last call. If the rate or the set of
// participants has changed, it starts with a full bucket instead.
func (b *TokenBucket) refill(now time.Duration, rate float64, weights map[string]int) {
	if b.reserved == nil || b.rate != rate || !b.hasSameParticipants(weights) {
		b.reset(now, rate, weights)
		return
	}
	passed := max(now-b.refilledAt, 0).Seconds()
	b.refilledAt = max(now, b.refilledAt)
	b.available = min(b.available+rate*passed, rate)
	for participant := range weights {
		guarantee := b.guarantee(participant, weights)
		b.reserved[participant] = min(b.reserved[participant]+guarantee*passed, guarantee)
	}
}

// reset replaces the bucket by a full one with all guarantees reserved.
func (b *TokenBucket) reset(now time.Duration, rate float64, weights map[string]int) {
	*b = TokenBucket{rate: rate, available: rate, refilledAt: now, reserved: make(map[string]float64, len(weights))}
	for participant := range weights {
		b.reserved[participant] = b.guarantee(participant, weights)
	}
}

// hasSameParticipants reports whether weights has the participants of the last refill.
// It does not compare the weights.
func (b *TokenBucket) hasSameParticipants(weights map[string]int) bool {
	if len(b.reserved) != len(weights) {
		return false
	}
	for participant := range weights {
		if _, known := b.reserved[participant]; !known {
			return false
		}
	}
	return true
}

// guarantee returns a participant's guaranteed rate in tokens per second, which is also
// the most tokens that are reserved for it. It is 0 instead of less than one token, since
// the participant could never take a token from such a reservation.
func (b *TokenBucket) guarantee(participant string, weights map[string]int) float64 {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	guarantee := b.rate / guaranteeDivisor * float64(weights[participant]) / float64(total)
	if guarantee < 1 {
		return 0
	}
	return guarantee
}

// reservedForOthers returns the number of tokens reserved for participants other than
// taker.
func (b *TokenBucket) reservedForOthers(taker string) float64 {
	sum := 0.0
	for participant, reserved := range b.reserved {
		if participant != taker {
			sum += reserved
		}
	}
	return sum
}

// timeUntilAvailable returns after how long at most the missing tokens are available to
// taker, provided that nobody draws meanwhile. New tokens first fill up the reservations
// of the other participants, unless taker draws on its own reservation.
func (b *TokenBucket) timeUntilAvailable(missing float64, taker string, weights map[string]int) time.Duration {
	rate := b.rate
	for participant := range weights {
		if guarantee := b.guarantee(participant, weights); participant != taker && b.reserved[participant] < guarantee && b.reserved[taker] < 1 {
			rate -= guarantee
		}
	}
	return time.Duration(missing / rate * float64(time.Second))
}
