package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// DrainRevision is a point in the sequence of a leader's drain orders. An order with a
// revision is carried out only if no other order on its zone was taken after that point,
// so that one which is delivered late cannot undo a newer one.
type DrainRevision struct {
	// Token is the fencing token of the leader that gave the revision. An order with the
	// revision of another leader is refused. It is greater than 0.
	Token uint64 `cbor:"1,keyasint"`
	// Order is the number of the newest order that the leader had taken in its term; 0 if
	// it had taken none.
	Order uint64 `cbor:"2,keyasint"`
}

// String returns the revision as text, such as "7-12".
func (r DrainRevision) String() string {
	return strconv.FormatUint(r.Token, 10) + "-" + strconv.FormatUint(r.Order, 10)
}

// ParseDrainRevision parses the text of a revision.
func ParseDrainRevision(text string) (DrainRevision, error) {
	token, order, found := strings.Cut(text, "-")
	if !found {
		return DrainRevision{}, fmt.Errorf("revision %q: got no '-', want TOKEN-ORDER", text)
	}
	var revision DrainRevision
	var err error
	if revision.Token, err = strconv.ParseUint(token, 10, 64); err != nil || revision.Token == 0 {
		return DrainRevision{}, fmt.Errorf("revision %q: got token %q, want a number above 0", text, token)
	}
	if revision.Order, err = strconv.ParseUint(order, 10, 64); err != nil {
		return DrainRevision{}, fmt.Errorf("revision %q: got order %q, want a number", text, order)
	}
	return revision, nil
}
