package admission

// guaranteeDivisor is what a limit is divided by to get the part that is guaranteed to
// its participants in proportion to their weights. The rest is first come, first served.
const guaranteeDivisor = 2

// Participant is the state of one participant of a limit, such as a queue.
type Participant struct {
	// Weight is the participant's part of the guarantees relative to the weights of the
	// others; at least 1.
	Weight int
	// Used is how much of the limit the participant uses.
	Used int
}

// Free returns how much more of a limit the participant at ownIndex may take, at least 0.
// The unused guarantees of the other participants are not available to it. The exception
// is a participant that uses nothing: it may take all that is unused, so that any work
// that fits into the limit is eventually admitted. A sole participant may take all.
func Free(limit, ownIndex int, shares []Participant) int {
	totalWeight, used := 0, 0
	for _, share := range shares {
		totalWeight += share.Weight
		used += share.Used
	}
	free := limit - used
	if shares[ownIndex].Used > 0 {
		free = min(free, maxUse(limit, ownIndex, totalWeight, shares)-shares[ownIndex].Used)
	}
	return max(free, 0)
}

// maxUse returns the most that the participant at ownIndex may use, given the current use
// and the guarantees of the others. It is at least the participant's own guarantee.
func maxUse(limit, ownIndex, totalWeight int, shares []Participant) int {
	reserved := 0
	for index, share := range shares {
		if index != ownIndex {
			reserved += max(share.Used, guaranteedPart(limit, share.Weight, totalWeight))
		}
	}
	return max(limit-reserved, guaranteedPart(limit, shares[ownIndex].Weight, totalWeight))
}

// guaranteedPart returns how much of the limit is guaranteed to a participant of the
// given weight, rounded down.
func guaranteedPart(limit, weight, totalWeight int) int {
	return int(int64(limit) * int64(weight) / (guaranteeDivisor * int64(totalWeight)))
}

// CallerFree returns how much of the free capacity of a queue a caller may take, at least
// 0. used is what the caller uses already. After it has taken that amount, the caller
// uses at most share times the capacity that is then still free. A single flooding caller
// thus leaves capacity free, and several of them get equal parts; the free capacity
// shrinks with each further flooding caller, but is never used up. A caller that uses
// nothing may take all that is free.
//
// The rule is the dynamic threshold scheme that Choudhury and Hahne describe for the
// shared buffers of a switch (IEEE/ACM Transactions on Networking 6:2, 1998).
func CallerFree(free, used int, share float64) int {
	if used == 0 {
		return max(free, 0)
	}
	// The largest taken for which used + taken <= share x (free - taken).
	return max(int((share*float64(free)-float64(used))/(1+share)), 0)
}
