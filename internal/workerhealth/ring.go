package workerhealth

// ring keeps the newest of what is added to it.
type ring[T any] struct {
	values []T
	next   int
}

// add keeps one more, in place of the oldest once there are most.
func (r *ring[T]) add(one T, limit int) {
	if len(r.values) < limit {
		r.values = append(r.values, one)
		return
	}
	r.values[r.next] = one
	r.next = (r.next + 1) % limit
}

// getOrCreate returns what is known by a key, made if there is nothing yet. All is
// forgotten once there are most keys.
func getOrCreate[K comparable, V any](known map[K]*V, key K, limit int) *V {
	if found, ok := known[key]; ok {
		return found
	}
	if len(known) >= limit {
		clear(known)
	}
	made := new(V)
	known[key] = made
	return made
}
