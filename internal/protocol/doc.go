// Package protocol has the messages that decklever's own processes exchange, as Go
// structs that package rpc carries in CBOR. It has no behavior.
//
// # Compatibility
//
// Fields are encoded by the number in their tag. A receiver ignores numbers that it does
// not know, and a number is never used for another field, so that two versions can run
// side by side. Renaming a field in Go changes nothing on the wire; changing its number
// or type does.
//
// # Delivery
//
// A message may be lost, late, duplicated or reordered. What follows from that is said at
// each type where it matters.
package protocol
