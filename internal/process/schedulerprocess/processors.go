package schedulerprocess

import "runtime"

// minProcessors is the minimum GOMAXPROCS of a process that syncs files. A thread inside a
// sync may occupy its processor until the sync ends; with only one processor, no other
// goroutine could run during the sync.
const minProcessors = 2

// setProcessors sets GOMAXPROCS to count and returns a function that restores the previous
// value. With count 0 it uses the current value, but at least minProcessors.
func setProcessors(count int) (restore func()) {
	if count == 0 {
		count = max(runtime.GOMAXPROCS(0), minProcessors)
	}
	before := runtime.GOMAXPROCS(count)
	return func() { runtime.GOMAXPROCS(before) }
}
