// Package cli implements the decklever command, with which callers and
// operators use a fleet from a shell.
//
// Run builds the command tree and executes one command. Each command has its
// own file, named after it, such as job_submit.go for "job submit". The file
// named after a command group, such as job.go, contains the group and the
// functions that its commands share. request.go sends requests, output.go and
// format.go print results, errors.go and exit_codes.go map errors to exit
// codes.
//
// The package sends requests only to the fronts, through api.Client. It has no
// state that outlives one execution: standard input, output and environment
// come from Config, so that tests can run commands within the test process.
// Output, help texts and exit codes are part of the public interface
// (docs/CLI.md) and must not change by accident.
package cli
