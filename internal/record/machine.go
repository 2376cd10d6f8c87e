package record

// Machine is the state machine; see doc.go.
type Machine struct{}
