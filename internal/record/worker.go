package record

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
)

// Worker is a worker known to the record: the newest incarnation of a name. A new
// incarnation replaces it only once it has no open run. A Worker in the state is
// never changed, only replaced, so that captures and callers may share it.
type Worker struct {
	// Name is stable, ID names the incarnation; no two names share an ID.
	Name     string            `cbor:"1,keyasint"`
	ID       string            `cbor:"2,keyasint"`
	Zone     string            `cbor:"3,keyasint"`
	Capacity api.Resources     `cbor:"4,keyasint"`
	Services []string          `cbor:"5,keyasint"`
	Labels   map[string]string `cbor:"6,keyasint"`
	// RegisteredAt is when this incarnation was first seen.
	RegisteredAt Millis `cbor:"7,keyasint"`
	// Address is shared with other incarnations only if they never live at once;
	// empty if it is not known.
	Address string `cbor:"8,keyasint,omitempty"`
}

// SameDescription compares what a worker reports of itself: all but its name, its
// id and the time of registration.
func (w *Worker) SameDescription(other *Worker) bool {
	return w.Zone == other.Zone && w.Address == other.Address &&
		w.Capacity == other.Capacity &&
		slices.Equal(w.Services, other.Services) &&
		maps.Equal(w.Labels, other.Labels)
}
