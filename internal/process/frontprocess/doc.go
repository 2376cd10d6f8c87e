// Package frontprocess is a front as a whole process: from its settings it
// makes package front, the link to the leader, and what all processes have in
// common, and runs them until it is told to stop.
package frontprocess
