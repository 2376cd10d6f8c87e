// Command decklever is the command-line client for callers and operators: it
// runs package cli with the arguments, streams and environment of the process.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/decklever/decklever/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Config{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv})
	stop()
	os.Exit(code)
}
