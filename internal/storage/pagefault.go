package storage

import (
	"runtime/debug"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// recoverPageFault calls access, which uses the given bbolt file, and turns panics and
// memory faults into ErrCorrupt. bbolt does not validate its pages and panics on
// invalid ones, and reading the memory mapping of a truncated file faults.
func recoverPageFault(file string, access func() error) (err error) {
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if cause := recover(); cause != nil {
			err = datafile.NewCorruptError(file, "unreadable page: %v", cause)
		}
	}()
	return access()
}
