package schedulerprocess

import "runtime"

// minProcessors is the least GOMAXPROCS of a process that syncs files: a thread inside a
// sync may keep its processor until the sync ends, and with only one processor no other
// goroutine runs meanwhile.
const minProcessors = 2

// setProcessors sets GOMAXPROCS and returns a function that restores it. With 0 it is what
// the runtime chose, but at least minProcessors.
func setProcessors(count int) (restore func()) {
	if count == 0 {
		count = max(runtime.GOMAXPROCS(0), minProcessors)
	}
	before := runtime.GOMAXPROCS(count)
	return func() { runtime.GOMAXPROCS(before) }
}
