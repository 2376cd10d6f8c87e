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
// accepted answer renews a lease, which is counted from when that heartbeat was
// sent. Once the lease has expired, the tasks may be started elsewhere, so the
// worker cancels the context of every handler by itself. (Settings and JSON
// call the lease "hold", hence Task.Held and ErrHoldLapsed.)
//
// # What a handler must do
//
// A handler must return soon after its context ends, and must return an error
// if it has not finished: nil always means that the task is done. It should
// check Task.Held immediately before an effect that cannot be undone. An error
// returned after the context was cancelled is reported as stopped and does not
// count as a failure of the task; context.Cause says why it was cancelled.
//
// A handler reports its progress with Task.Report. Tasks whose description says
// Resumable may also save checkpoints: a later run finds the newest in
// Task.Checkpoint and continues from there.
//
// # Implementation
//
// session holds the rules of the protocol (docs/DESIGN.md, "Leases, tokens and
// runs") without I/O or clock. loop owns the session: it alone calls it, and
// the goroutines of requests and handlers send it their results over channels.
// Of the loop's state handlers read only the expiry of the lease, which is
// atomic, and of the session's only the progress of their run, which has a lock
// of its own.
package worker
