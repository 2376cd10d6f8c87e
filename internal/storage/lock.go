package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// lockFile is locked by the process that uses the directory, from before the
// other files are created on; bbolt's own locks cover only files that exist.
const lockFile = "lock"

// lockDirectory locks a directory until the file is closed. It fails with
// ErrLocked at once if another process holds the lock.
func lockDirectory(directory string) (*os.File, error) {
	path := filepath.Join(directory, lockFile)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, datafile.FilePermission)
	if err != nil {
		return nil, fmt.Errorf("open lock: %w", err)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%w: %s", ErrLocked, directory)
	}
	return nil, fmt.Errorf("lock %s: %w", path, err)
}
