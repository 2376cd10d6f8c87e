package storage

import (
	"fmt"
	"runtime/debug"
)

// corrupt describes damage in a file.
func corrupt(file, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrCorrupt, file, fmt.Sprintf(format, args...))
}

// recoverPageFault runs a read of a bbolt file. bbolt trusts its pages and panics on ones
// that make no sense, and a file cut short faults when its mapping is read:
// both become ErrCorrupt.
func recoverPageFault(file string, read func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if found := recover(); found != nil {
			err = corrupt(file, "unreadable page: %v", found)
		}
	}()
	return read()
}
