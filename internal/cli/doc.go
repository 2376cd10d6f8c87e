// Package cli implements the decklever command, with which callers and
// operators use a fleet from a shell.
//
// Run builds the tree of commands and executes one of them. Each command has a
// file of its own, named after it, such as job_submit.go for "job submit"; the
// file named after a group of commands, such as job.go, holds the group and
// what its commands share. request.go sends requests, output.go and format.go
// print results, errors.go and exit_codes.go turn errors into exit codes.
//
// The package talks to the fronts through api.Client and to nothing else. It
// owns no state beyond one execution: input, output and environment come from
// Config, so that tests run commands in their own process. Output, help and
// exit codes are part of the public interface (docs/CLI.md) and must not
// change by accident.
package cli
