// Package worker runs tasks that decklever assigns to a process. A program
// registers one handler for each service that it offers and calls Run:
//
//	w, err := worker.New(worker.Config{
//		Name:     "machine-7",
//		AgentURL: "http://127.0.0.1:7300",
//		Capacity: api.Resources{CPUMillis: 4000, MemoryMB: 8192},
//	})
//	w.Handle("resize", func(ctx context.Context, task worker.Task) error { ... })
//	err = w.Run(ctx)
//
// # Lease
//
// The worker sends heartbeats to the agent of its machine, one at a time. Each
// accepted answer renews the worker's lease, whose duration counts from the time
// at which that heartbeat was sent. Once the lease has expired, the leader may
// start the tasks on other workers, so the worker cancels the context of every
// handler without waiting for a stop request. (Settings and JSON call the lease
// "hold", hence Task.Held and ErrHoldLapsed.)
//
// # What a handler must do
//
// A handler must return soon after its context ends, and must return an error
// if it has not finished: nil always means that the task is done. It should
// check Task.Held immediately before an effect that cannot be undone. An error
// returned after the context was cancelled is reported as stopped and does not
// count as a failure of the task, except after ErrMaxDuration, which is
// reported as failed. context.Cause returns why the context was cancelled.
//
// A handler reports its progress with Task.Report. Tasks with
// TaskSpec.Resumable may also save checkpoints: a later run gets the newest in
// Task.Checkpoint and continues from there.
//
// # Implementation
//
// session implements the rules of the protocol (docs/DESIGN.md, "Leases, tokens
// and runs") and does no I/O and reads no clock. loop owns the session: only the
// loop's goroutine calls it, and the goroutines of requests and handlers send
// their results to the loop over channels. Handlers share two values with the
// loop: the expiry of the lease, which is atomic, and the progress of their
// run, which is guarded by its own mutex.
package worker
