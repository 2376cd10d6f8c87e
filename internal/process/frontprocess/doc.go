// Package frontprocess runs a front as a process: from the settings it creates a
// front.Front, a client of the leader and the common parts of all processes, and runs them
// until the process stops. It contains no logic of the front itself.
package frontprocess
