package schedulerprocess

import "runtime"

// minProcessors is how many goroutines must be able to run at once in a process
// that syncs files: a thread inside a sync may keep its processor until the sync
// ends, and with only one all other work of the process stands still meanwhile.
const minProcessors = 2

// setProcessors sets how many goroutines run at once (GOMAXPROCS) and returns a
// function that sets it back. With 0 it is what the runtime chose, minProcessors
// at least.
func setProcessors(wanted int) (restore func()) {
	if wanted == 0 {
		wanted = max(runtime.GOMAXPROCS(0), minProcessors)
	}
	before := runtime.GOMAXPROCS(wanted)
	return func() { runtime.GOMAXPROCS(before) }
}
