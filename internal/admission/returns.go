package admission

import "time"

// Returns spreads the times at which those who were refused are told to come back,
// so that they do not come all at once to be refused again. The zero value has
// promised nothing.
type Returns struct {
	// next is when the next one is told to come.
	next time.Duration
}

// Book returns after what time one is to come back whose work will find a place
// after earliest, and keeps the next from coming for as long as that work takes to
// begin. Beyond most, all are told most.
func (r *Returns) Book(now, earliest, length, most time.Duration) time.Duration {
	at := max(now+earliest, r.next)
	if at-now >= most {
		return most
	}
	r.next = at + length
	return at - now
}
