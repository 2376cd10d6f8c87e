package storage

import (
	"runtime/debug"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// recoverPageFault runs an access to a bbolt file. bbolt trusts its pages and
// panics on invalid ones, and a file that was truncated faults when its mapping
// is read: both become ErrCorrupt.
func recoverPageFault(file string, read func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if found := recover(); found != nil {
			err = datafile.Corrupt(file, "unreadable page: %v", found)
		}
	}()
	return read()
}
