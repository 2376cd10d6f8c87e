// Package netem emulates the network between the processes of a fleet. It
// forwards their connections and injects network faults on request: delay,
// partitions in one direction, held data, reordered answers, and connection
// resets.
//
// Each process is reached at a listener of this package. Where a connection
// comes from is known by its source address, so a fault can be injected between
// any two processes and in one direction alone. It works on TCP streams: what
// a partition holds up is forwarded once the partition heals, as TCP itself
// would by retransmitting, unless an end has gone away.
package netem
