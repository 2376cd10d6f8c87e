package admission

import "time"

// tolerance is the part of a token below which amounts count as equal.
const tolerance = 1e-6

// TokenBucket is a token bucket that holds the tokens of one second and that several
// participants draw from. Each participant has a guaranteed part of the rate and of the
// bucket, which a flood of the others leaves to it. While a participant is idle its part
// is reserved once, so that it costs the others no more than that much of the bucket. The
// zero value is full.
type TokenBucket struct {
	// rate is in tokens a second; it is the size of the bucket as well.
	rate float64
	// available are the tokens in the bucket, as of refilledAt.
	available  float64
	refilledAt time.Duration
	// reserved is the part of the available tokens that is reserved for each participant
	// that has a guarantee.
	reserved map[string]float64
}

// Take draws a token for a participant. If there is none, it returns after how long there
// will be one. rate is in tokens a second; weights has the participants with a guarantee.
// A participant that is not among them may take what is reserved for nobody.
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
// the participants begins with a full bucket.
func (b *TokenBucket) refill(now time.Duration, rate float64, weights map[string]int) {
	if b.reserved == nil || b.rate != rate || !b.hasSameParticipants(weights) {
		b.fill(now, rate, weights)
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

// fill makes the bucket a full one.
func (b *TokenBucket) fill(now time.Duration, rate float64, weights map[string]int) {
	*b = TokenBucket{rate: rate, available: rate, refilledAt: now, reserved: make(map[string]float64, len(weights))}
	for participant := range weights {
		b.reserved[participant] = b.guarantee(participant, weights)
	}
}

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

// guarantee is a participant's guaranteed rate in tokens a second, and the most tokens
// that are reserved for it. Less than one token would be of no use to it, and is not
// reserved.
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

func (b *TokenBucket) reservedForOthers(own string) float64 {
	sum := 0.0
	for participant, reserved := range b.reserved {
		if participant != own {
			sum += reserved
		}
	}
	return sum
}

// timeUntil is how long it takes until the missing tokens have come for a participant, if
// nobody draws meanwhile. What comes goes first to the guarantees of the others,
// unless the participant draws on its own.
func (b *TokenBucket) timeUntil(missing float64, own string, weights map[string]int) time.Duration {
	rate := b.rate
	for participant := range weights {
		if guarantee := b.guarantee(participant, weights); participant != own && b.reserved[participant] < guarantee && b.reserved[own] < 1 {
			rate -= guarantee
		}
	}
	return time.Duration(missing / rate * float64(time.Second))
}
