// Package frontprocess runs a front as a process: from its settings it makes a front.Front, a client of
// the leader and what all processes have in common, and runs them until the process is to
// stop. It holds no logic of the front itself.
package frontprocess
