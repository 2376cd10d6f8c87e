// Package relay carries the connections between the processes of a fleet, and
// causes the faults of networks on request: delay, cuts in one direction,
// holding, answers that cross, and dropped connections.
//
// Each process is reached at a listener of this package. Where a connection
// comes from is known by its source address, so a fault can be caused between
// any two processes and in one direction alone. It works on TCP streams: what
// a cut holds up is passed on once the cut ends, as TCP itself would by sending
// again, unless an end has gone away.
package relay
