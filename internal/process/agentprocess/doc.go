// Package agentprocess runs an agent as a process: from the settings it creates an
// agent.Agent, a client of the leader and the common parts of all processes, and runs them
// until the process stops. It contains no logic of the agent itself.
package agentprocess
