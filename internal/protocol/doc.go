// Package protocol defines the messages between decklever's processes as Go structs,
// which package rpc encodes in CBOR. It contains no behavior.
//
// # Compatibility
//
// Fields are encoded under the number in their tag. A receiver ignores unknown numbers,
// and a number is never reused for another field, so that two versions can run side by
// side. Renaming a Go field does not change the encoding; changing its number or type
// does.
//
// # Delivery
//
// A message may be lost, delayed, duplicated or reordered. Where this matters, the doc
// comment of the type describes the consequences.
package protocol
