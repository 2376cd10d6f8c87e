// Package agentprocess is an agent as a whole process: from its settings it
// makes package agent, the link to the leader, and what all processes have in
// common, and runs them until it is told to stop.
package agentprocess
