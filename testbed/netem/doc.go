// Package netem emulates the network between the processes of a fleet. It
// forwards their connections, delays the data, and injects network faults on
// request: one-way partitions, stalled data, reordered responses, and connection
// resets.
//
// Other processes reach a process through a listener of this package. The source
// address of a connection identifies the process that opened it, so a fault can be
// injected between any two processes and in a single direction. Faults act on TCP
// streams: data that a partition blocks is forwarded once the partition heals, as
// TCP retransmission would do, unless one end has closed the connection.
package netem
