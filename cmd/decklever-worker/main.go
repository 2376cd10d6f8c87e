// Command decklever-worker is the reference worker: it runs the built-in
// handlers with the public package worker.
package main

import "github.com/decklever/decklever/internal/daemon"

func main() {
	daemon.Main(daemon.Command(program, "Reference worker of decklever with built-in handlers", run))
}
