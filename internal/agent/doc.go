// Package agent is the local proxy of a side machine: it takes the heartbeats
// of its workers over HTTP/1.1 JSON, relays each to the leading scheduler in
// one call, and hands the answer back.
//
// A heartbeat is never sent a second time, to the same scheduler or another.
// When its call fails or runs out of time the worker is answered 503 and goes
// on with its next seq; whatever answer still comes is dropped. That is what
// lets the record close a run whose order was in an answer that was not
// accepted (docs/DESIGN.md, "Holds, tokens and the life of a run").
package agent
