// Package agentprocess runs an agent as a process: from its settings it makes a agent.Agent, a client of
// the leader and what all processes have in common, and runs them until the process is to
// stop. It holds no logic of the agent itself.
package agentprocess
