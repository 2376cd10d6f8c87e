package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// Layout of a bbolt file's two meta pages (bbolt, internal/common/meta.go):
// after the page header come magic, version, page size, flags (4 bytes each),
// root (16), free list, high water mark, transaction (8 each) and, over all
// these, an FNV-1a checksum (8), in the byte order of the machine.
const (
	boltPageHeader  = 16
	boltMagic       = 0xED0CDAED
	boltPageSizeAt  = 8
	boltChecksumAt  = 56
	boltMetaSize    = boltChecksumAt + 8
	boltMinPageSize = 512
	boltMaxPageSize = 1 << 16
	boltMetaPages   = 2
)

// checkBoltMetas refuses a file in which either meta page does not check.
// bbolt itself would go back to the other one, and with it lose the last
// transaction without a word. A meta is far smaller than a disk's sector, so
// that a power loss does not leave a torn one behind.
func checkBoltMetas(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open %s: %w", path, err)
	}
	defer func() { _ = file.Close() }()
	pageSize := int64(0) // the first page tells
	for page := range int64(boltMetaPages) {
		meta := make([]byte, boltMetaSize)
		_, err := file.ReadAt(meta, page*pageSize+boltPageHeader)
		if errors.Is(err, io.EOF) {
			return corrupt(path, "meta page %d is cut off", page)
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", path, err)
		}
		if pageSize, err = checkBoltMeta(path, page, meta); err != nil {
			return err
		}
	}
	return nil
}

// checkBoltMeta returns the page size that the meta names.
func checkBoltMeta(path string, page int64, meta []byte) (pageSize int64, err error) {
	if magic := binary.NativeEndian.Uint32(meta); magic != boltMagic {
		return 0, corrupt(path, "meta page %d starts with %08x, expected %08x", page, magic, uint32(boltMagic))
	}
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:boltChecksumAt])
	want := binary.NativeEndian.Uint64(meta[boltChecksumAt:])
	if got := sum.Sum64(); got != want {
		return 0, corrupt(path, "meta page %d has checksum %016x, expected %016x", page, got, want)
	}
	pageSize = int64(binary.NativeEndian.Uint32(meta[boltPageSizeAt:]))
	if pageSize < boltMinPageSize || pageSize > boltMaxPageSize {
		return 0, corrupt(path, "meta page %d names a page size of %d bytes", page, pageSize)
	}
	return pageSize, nil
}
