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
	// UnfinishedSuffix marks a file of a data directory whose creation was not
	// finished.
	UnfinishedSuffix = ".new"
)

// FileSystem is what the log and the snapshots need of a file system. Content is
// durable once its file has been synced, and a name once its directory has.
type FileSystem interface {
	// Create makes an empty file, in place of one of that name.
	Create(path string) (File, error)
	// Open opens a file for reading and writing.
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// Names lists a directory in the order of names.
	Names(directory string) ([]string, error)
	SyncDirectory(directory string) error
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the length; what it adds reads as zeros.
	Truncate(size int64) error
	Size() (int64, error)
	// Sync makes the content and the length durable.
	Sync() error
}

// OS is the machine's file system.
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

// Sync implements File with fdatasync, which leaves out times but not the
// length.
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
