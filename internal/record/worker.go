package record

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
)

// Worker is a worker known to the record; the newest incarnation of a name.
// An incarnation is replaced only once the earlier one has no open run.
type Worker struct {
	Name     string            `cbor:"1,keyasint"`
	ID       string            `cbor:"2,keyasint"`
	Zone     string            `cbor:"3,keyasint"`
	Capacity api.Resources     `cbor:"4,keyasint"`
	Services []string          `cbor:"5,keyasint"`
	Labels   map[string]string `cbor:"6,keyasint"`
	// RegisteredAt is when this incarnation was first seen.
	RegisteredAt Millis `cbor:"7,keyasint"`
	// Place is shared with other incarnations only if they never live at once;
	// empty if that is not known.
	Address string `cbor:"8,keyasint,omitempty"`
}

// SameDescription compares what a worker says of itself: all but name, id and the time of
// registration.
func (w *Worker) SameDescription(other *Worker) bool {
	return w.Zone == other.Zone && w.Address == other.Address &&
		w.Capacity == other.Capacity &&
		slices.Equal(w.Services, other.Services) &&
		maps.Equal(w.Labels, other.Labels)
}
