package datafile

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

func TestCorrupt_NamesFileAndProblem(t *testing.T) {
	err := fmt.Errorf("load: %w", NewCorruptError("d/snapshot", "snapshot has index %d, expected at least %d", 3, 5))
	var corrupt *CorruptError
	if !errors.Is(err, ErrCorrupt) || !errors.As(err, &corrupt) {
		t.Fatalf("got %v, want a CorruptError", err)
	}
	if corrupt.File != "d/snapshot" || corrupt.Problem != "snapshot has index 3, expected at least 5" {
		t.Errorf("got file %q, problem %q", corrupt.File, corrupt.Problem)
	}
	if !strings.Contains(err.Error(), "d/snapshot: snapshot has index 3") {
		t.Errorf("got %q, want the file and the problem in it", err)
	}
}

func TestClassifyWriteError_FullDiskIsNoSpace(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		noSpace bool
	}{
		{"no space", &os.PathError{Op: "write", Path: "f", Err: syscall.ENOSPC}, true},
		{"quota", syscall.EDQUOT, true},
		{"input or output", syscall.EIO, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ClassifyWriteError(c.err)
			if errors.Is(got, ErrNoSpace) != c.noSpace || !errors.Is(got, c.err) {
				t.Errorf("got %v, want it to wrap the error, and ErrNoSpace only for a full disk", got)
			}
		})
	}
	if ClassifyWriteError(nil) != nil {
		t.Error("got an error for nil, want nil")
	}
}

func TestChecksum_UpdateContinues(t *testing.T) {
	first, second := []byte("first "), []byte("second")
	want := crc32.Checksum(slices.Concat(first, second), crc32.MakeTable(crc32.Castagnoli))
	if got := UpdateChecksum(Checksum(first), second); got != want {
		t.Errorf("got %08x, want %08x", got, want)
	}
}

func TestOS_FileKeepsLengthAndContent(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "b")
	file, err := OS{}.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	if err := file.Truncate(8); err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteAt([]byte("xy"), 2); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(file.Sync(), OS{}.SyncDirectory(directory), OS{}.Rename(path, filepath.Join(directory, "a"))); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(directory, "a"))
	if size, sizeErr := file.Size(); err != nil || sizeErr != nil || size != 8 || string(content) != "\x00\x00xy\x00\x00\x00\x00" {
		t.Errorf("got size %d, content %q, errors %v and %v, want 8 bytes with xy at offset 2", size, content, err, sizeErr)
	}
	if names, err := (OS{}).Names(directory); err != nil || !slices.Equal(names, []string{"a"}) {
		t.Errorf("got names %v, %v, want only a", names, err)
	}
}
