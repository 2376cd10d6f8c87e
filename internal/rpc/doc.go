// Package rpc carries typed calls between decklever's processes: CBOR bodies
// over HTTP/1.1 POST /rpc/METHOD on kept-alive connections, a deadline on
// every call, bounded bodies. It retries nothing: whether a call may be sent
// again is the caller's to know.
//
// A refusal travels as an Error with a code; codes of api.Error pass through
// whole, so that a front can answer its caller with them.
package rpc
