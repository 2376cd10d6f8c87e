package admission

// guaranteeDivisor: one part in so many of a bound is guaranteed to its sharers by
// their weights; the rest goes to whoever comes first.
const guaranteeDivisor = 2

// Share is one of those that share a bound.
type Share struct {
	// Weight is its part of what is guaranteed, at least 1.
	Weight int
	// Used is what it holds of the bound.
	Used int
}

// Free is how much more one of the parts may take of a bound. What is guaranteed
// to the others and not in use is left alone, unless the part holds nothing: so
// whatever fits into the bound gets in at some time. A sole part may take all.
func Free(limit, own int, shares []Share) int {
	weights, used := 0, 0
	for _, part := range shares {
		weights += part.Weight
		used += part.Used
	}
	free := limit - used
	if shares[own].Used > 0 {
		free = min(free, maxUse(limit, own, weights, shares)-shares[own].Used)
	}
	return max(free, 0)
}

// maxUse is what a part may hold at most while the others hold what they do.
func maxUse(limit, own, weights int, shares []Share) int {
	reserved := 0
	for index, part := range shares {
		if index != own {
			reserved += max(part.Used, guaranteedTo(limit, part.Weight, weights))
		}
	}
	return max(limit-reserved, guaranteedTo(limit, shares[own].Weight, weights))
}

func guaranteedTo(limit, weight, weights int) int {
	return int(int64(limit) * int64(weight) / (guaranteeDivisor * int64(weights)))
}

// CallerFree is how much a caller that holds held may take of what is free in its
// queue: afterwards it must not hold more than share times what is still free. So
// one caller that floods leaves room, several share alike, and the room left grows
// smaller with each but is never gone. A caller that holds nothing may take all.
//
// This is the dynamic threshold by which Choudhury and Hahne share the buffers of
// a switch (IEEE/ACM Transactions on Networking 6:2, 1998).
func CallerFree(free, used int, share float64) int {
	if used == 0 {
		return max(free, 0)
	}
	// held + taken <= share x (free - taken)
	return max(int((share*float64(free)-float64(used))/(1+share)), 0)
}
