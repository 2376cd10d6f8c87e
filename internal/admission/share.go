package admission

// guaranteeDivisor is the divisor of a limit that gives the part of it that is
// guaranteed to its participants, by their weights. The rest goes to whoever comes first.
const guaranteeDivisor = 2

// Share is one of the participants of a limit, such as a queue.
type Share struct {
	// Weight is its part of the guarantees in relation to the others, at least 1.
	Weight int
	// Used is how much of the limit it uses.
	Used int
}

// Free returns how much more the participant at index own may take of a limit. The unused
// guarantees of the others are left to them, unless the participant uses nothing: then all
// that is unused is free, so that whatever fits into the limit is admitted at some
// time. A sole participant may take all.
func Free(limit, own int, shares []Share) int {
	weights, used := 0, 0
	for _, share := range shares {
		weights += share.Weight
		used += share.Used
	}
	free := limit - used
	if shares[own].Used > 0 {
		free = min(free, maxUse(limit, own, weights, shares)-shares[own].Used)
	}
	return max(free, 0)
}

// maxUse is the most that a participant may use while the others use what they do.
func maxUse(limit, own, weights int, shares []Share) int {
	reserved := 0
	for index, share := range shares {
		if index != own {
			reserved += max(share.Used, guaranteedTo(limit, share.Weight, weights))
		}
	}
	return max(limit-reserved, guaranteedTo(limit, shares[own].Weight, weights))
}

func guaranteedTo(limit, weight, weights int) int {
	return int(int64(limit) * int64(weight) / (guaranteeDivisor * int64(weights)))
}

// CallerFree returns how much a caller that uses used may take of what is free in its
// queue. Afterwards it must not use more than share times what is then free. So one
// caller that floods leaves room, several share it equally, and what is left shrinks
// with each of them but is never gone. A caller that uses nothing may take all.
//
// This is the dynamic threshold by which Choudhury and Hahne share the buffers of
// a switch (IEEE/ACM Transactions on Networking 6:2, 1998).
func CallerFree(free, used int, share float64) int {
	if used == 0 {
		return max(free, 0)
	}
	// The most that satisfies used + taken <= share x (free - taken).
	return max(int((share*float64(free)-float64(used))/(1+share)), 0)
}
