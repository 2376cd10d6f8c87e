package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// lockFile is locked by the process that uses the directory, before it creates any
// other file there. bbolt's own lock covers only its file, once that exists.
const lockFile = "lock"

// lockDirectory locks a directory until the returned file is closed. It does not wait:
// it returns ErrLocked if another process holds the lock.
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
