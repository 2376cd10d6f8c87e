package record

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
)

// Worker is a registered worker: the newest incarnation of a name. A new
// incarnation replaces it only once it has no open run. A Worker in the state is
// never changed, only replaced, so that captures and callers may share it.
type Worker struct {
	// Name is the worker's stable name, ID identifies the incarnation. No two names
	// share an ID.
	Name     string            `cbor:"1,keyasint"`
	ID       string            `cbor:"2,keyasint"`
	Zone     string            `cbor:"3,keyasint"`
	Capacity api.Resources     `cbor:"4,keyasint"`
	Services []string          `cbor:"5,keyasint"`
	Labels   map[string]string `cbor:"6,keyasint"`
	// RegisteredAt is when this incarnation was first registered.
	RegisteredAt Millis `cbor:"7,keyasint"`
	// Address is empty if it is not known. Incarnations share an address only if
	// they never live at the same time.
	Address string `cbor:"8,keyasint,omitempty"`
}

// SameDescription reports whether both workers have the same description, which is
// everything but the name, the id and the time of registration.
func (w *Worker) SameDescription(other *Worker) bool {
	return w.Zone == other.Zone && w.Address == other.Address &&
		w.Capacity == other.Capacity &&
		slices.Equal(w.Services, other.Services) &&
		maps.Equal(w.Labels, other.Labels)
}
