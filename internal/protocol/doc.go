// Package protocol holds the messages that decklever's own processes exchange,
// as Go structs in CBOR over package rpc. Unknown fields are ignored and
// field numbers are never used again, so two versions can run side by side.
//
// What a lost, late, doubled or crossed message does is said at each type.
package protocol
