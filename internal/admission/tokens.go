package admission

import "time"

// Tokens is a token bucket of one second's worth that several parts draw from.
// Each has a guaranteed part of the rate and of the bucket that a flood of the
// others leaves to it; it is kept while the part is silent and costs the others
// nothing but that much of the bucket. The zero value is full.
type Tokens struct {
	rate, left float64
	at         time.Duration
	// kept is what is guaranteed to each part and was not drawn.
	kept map[string]float64
}

// Take draws a token for a part. Without one, it says after what time there will
// be one. rate is in tokens a second; weights names the parts that have something
// guaranteed.
func (t *Tokens) Take(now time.Duration, rate float64, own string, weights map[string]int) (wait time.Duration, taken bool) {
	t.refill(now, rate, weights)
	missing := 1 - t.left
	if t.kept[own] < 1 {
		missing += t.keptForOthers(own)
	}
	if missing > tolerance {
		return t.waitFor(missing, own, weights), false
	}
	t.left--
	if kept, known := t.kept[own]; known {
		t.kept[own] = max(kept-1, 0)
	}
	return 0, true
}

// tolerance is the part of a token below which amounts count as equal.
const tolerance = 1e-6

// GiveBack puts a token back.
func (t *Tokens) GiveBack() { t.left = min(t.left+1, t.rate) }

// refill adds what has come since the last call. A changed rate or part begins
// with a full bucket.
func (t *Tokens) refill(now time.Duration, rate float64, weights map[string]int) {
	if t.kept == nil || t.rate != rate || !t.sameParts(weights) {
		*t = Tokens{rate: rate, left: rate, at: now, kept: make(map[string]float64, len(weights))}
		for part := range weights {
			t.kept[part] = t.guarantee(part, weights)
		}
		return
	}
	passed := max(now-t.at, 0).Seconds()
	t.at = max(now, t.at)
	t.left = min(t.left+rate*passed, rate)
	for part := range weights {
		guarantee := t.guarantee(part, weights)
		t.kept[part] = min(t.kept[part]+guarantee*passed, guarantee)
	}
}

func (t *Tokens) sameParts(weights map[string]int) bool {
	if len(t.kept) != len(weights) {
		return false
	}
	for part := range weights {
		if _, known := t.kept[part]; !known {
			return false
		}
	}
	return true
}

// guarantee is a part's own rate in tokens a second, and the most kept for it. Less
// than a whole token would be of no use to it, and is not kept from the others.
func (t *Tokens) guarantee(part string, weights map[string]int) float64 {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	guarantee := t.rate / guaranteedShare * float64(weights[part]) / float64(total)
	if guarantee < 1 {
		return 0
	}
	return guarantee
}

func (t *Tokens) keptForOthers(own string) float64 {
	sum := 0.0
	for part, kept := range t.kept {
		if part != own {
			sum += kept
		}
	}
	return sum
}

// waitFor is how long until what is missing has come, if nobody draws meanwhile.
// What the others are owed comes first.
func (t *Tokens) waitFor(missing float64, own string, weights map[string]int) time.Duration {
	rate := t.rate
	for part := range weights {
		if guarantee := t.guarantee(part, weights); part != own && t.kept[part] < guarantee && t.kept[own] < 1 {
			rate -= guarantee
		}
	}
	return time.Duration(missing / rate * float64(time.Second))
}
