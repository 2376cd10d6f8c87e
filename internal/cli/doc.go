// Package cli is the decklever command: callers' and operators' use of a fleet
// from a shell. It talks to the fronts through the client of package api and
// to nothing else. Each command has a file of its own; what it reads and
// writes is handed in, so that a test runs it in its own process.
package cli
