package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// fileSystem is what the log and the snapshots need of a file system. Content
// is durable once its file has been synced, and names once their folder has.
type fileSystem interface {
	// Create makes an empty file, in place of one of that name.
	Create(path string) (dataFile, error)
	// Open opens a file for reading and writing.
	Open(path string) (dataFile, error)
	Rename(from, to string) error
	Remove(path string) error
	// Names lists a folder.
	Names(directory string) ([]string, error)
	SyncDirectory(directory string) error
}

// dataFile is an open file.
type dataFile interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the length; what it adds reads as zeros.
	Truncate(size int64) error
	Size() (int64, error)
	// Sync makes the content and the length durable.
	Sync() error
}

// systemFiles is the machine's file system.
type systemFiles struct{}

var _ fileSystem = systemFiles{}

// Create implements fileSystem.
func (systemFiles) Create(path string) (dataFile, error) {
	return openSystemFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
}

// Open implements fileSystem.
func (systemFiles) Open(path string) (dataFile, error) {
	return openSystemFile(path, os.O_RDWR)
}

func openSystemFile(path string, flags int) (dataFile, error) {
	file, err := os.OpenFile(path, flags, filePermission)
	if err != nil {
		return nil, err
	}
	return systemFile{file}, nil
}

// Rename implements fileSystem.
func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements fileSystem.
func (systemFiles) Remove(path string) error { return os.Remove(path) }

// Names implements fileSystem.
func (systemFiles) Names(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, err
}

// SyncDirectory implements fileSystem.
func (systemFiles) SyncDirectory(directory string) error {
	handle, err := os.Open(directory)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { _ = handle.Close() }()
	if err := handle.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

type systemFile struct{ *os.File }

// Size implements dataFile.
func (f systemFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync implements dataFile with fdatasync, which leaves out times but not the
// length.
func (f systemFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return &os.PathError{Op: "fdatasync", Path: f.Name(), Err: err}
		}
		return nil
	}
}
