package workerhealth

// ring keeps the newest of what is added to it.
type ring[T any] struct {
	kept []T
	next int
}

// add keeps one more, in place of the oldest once there are most.
func (r *ring[T]) add(one T, most int) {
	if len(r.kept) < most {
		r.kept = append(r.kept, one)
		return
	}
	r.kept[r.next] = one
	r.next = (r.next + 1) % most
}

// remembered returns what is known by a key, made if there is nothing yet. All is
// forgotten once there are most keys.
func remembered[K comparable, V any](known map[K]*V, key K, most int) *V {
	if found, ok := known[key]; ok {
		return found
	}
	if len(known) >= most {
		clear(known)
	}
	made := new(V)
	known[key] = made
	return made
}
