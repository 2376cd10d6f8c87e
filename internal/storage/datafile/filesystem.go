package datafile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

const (
	// FilePermission is the mode of every file of a data directory.
	FilePermission = 0o600
	// UnfinishedSuffix is appended to the name of a file of a data directory
	// until its creation is finished.
	UnfinishedSuffix = ".new"
)

// FileSystem has the file operations that the log and the snapshots use. The
// content of a file is durable once the file has been synced; a created, renamed
// or removed name is durable once its directory has been synced.
type FileSystem interface {
	// Create creates an empty file and replaces an existing one of that name.
	Create(path string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// Names lists the names in a directory in ascending order.
	Names(directory string) ([]string, error)
	SyncDirectory(directory string) error
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the length in bytes; added bytes read as zeros.
	Truncate(size int64) error
	Size() (int64, error)
	// Sync makes the content and the length durable.
	Sync() error
}

// OS is the FileSystem of the operating system.
type OS struct{}

var _ FileSystem = OS{}

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return openOSFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
}

// Open implements FileSystem.
func (OS) Open(path string) (File, error) {
	return openOSFile(path, os.O_RDWR)
}

func openOSFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, FilePermission)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OS) Remove(path string) error { return os.Remove(path) }

// Names implements FileSystem.
func (OS) Names(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, err
}

// SyncDirectory implements FileSystem.
func (OS) SyncDirectory(directory string) error {
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

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync implements File with fdatasync, which writes the content and the length
// but not the timestamps.
func (f osFile) Sync() error {
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
