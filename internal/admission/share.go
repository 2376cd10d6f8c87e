package admission

// guaranteedShare: one part in so many of a bound is guaranteed to its sharers by
// their weights; the rest goes to whoever comes first.
const guaranteedShare = 2

// Part is one of those that share a bound.
type Part struct {
	// Weight is its part of what is guaranteed, at least 1.
	Weight int
	// Used is what it holds of the bound.
	Used int
}

// Free is how much more one of the parts may take of a bound. What is guaranteed
// to the others and not in use is left alone, unless the part holds nothing: so
// whatever fits into the bound gets in at some time. A sole part may take all.
func Free(bound, own int, parts []Part) int {
	weights, used := 0, 0
	for _, part := range parts {
		weights += part.Weight
		used += part.Used
	}
	free := bound - used
	if parts[own].Used > 0 {
		free = min(free, mostOf(bound, own, weights, parts)-parts[own].Used)
	}
	return max(free, 0)
}

// mostOf is what a part may hold at most while the others hold what they do.
func mostOf(bound, own, weights int, parts []Part) int {
	kept := 0
	for index, part := range parts {
		if index != own {
			kept += max(part.Used, guaranteeOf(bound, part.Weight, weights))
		}
	}
	return max(bound-kept, guaranteeOf(bound, parts[own].Weight, weights))
}

func guaranteeOf(bound, weight, weights int) int {
	return int(int64(bound) * int64(weight) / (guaranteedShare * int64(weights)))
}

// CallerFree is how much a caller that holds held may take of what is free in its
// queue: afterwards it must not hold more than share times what is still free. So
// one caller that floods leaves room, several share alike, and the room left grows
// smaller with each but is never gone. A caller that holds nothing may take all.
//
// This is the dynamic threshold by which Choudhury and Hahne share the buffers of
// a switch (IEEE/ACM Transactions on Networking 6:2, 1998).
func CallerFree(free, held int, share float64) int {
	if held == 0 {
		return max(free, 0)
	}
	// held + taken <= share x (free - taken)
	return max(int((share*float64(free)-float64(held))/(1+share)), 0)
}
