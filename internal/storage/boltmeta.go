package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// Layout of the two meta pages of a bbolt file (see internal/common/meta.go and
// page.go of bbolt), with lengths in bytes. The page header is: page number (8),
// flags (2), zeros. The meta follows it: magic, version, page size and flags (4
// each), root (16), free list, high water mark and transaction (8 each), and an
// FNV-1a checksum of these fields (8). Numbers are in the byte order of the machine.
// Offsets are from the start of the meta.
const (
	boltMetaPages         = 2
	boltMetaFlag          = 4
	boltPageHeaderSize    = 16
	boltMagic             = 0xED0CDAED
	boltPageSizeOffset    = 8
	boltTransactionOffset = 48
	boltChecksumOffset    = 56
	boltMetaSize          = boltChecksumOffset + 8
	boltMinPageSize       = 512
	boltMaxPageSize       = 1 << 16
)

// boltMeta has the fields of a meta page that are used here.
type boltMeta struct {
	pageSize    int64
	transaction uint64
}

// checkBoltMetas returns an error if neither meta page is usable or the newest usable
// transaction is older than minTransaction. bbolt writes the two meta pages
// alternately, each after the pages that it refers to are durable, so a power loss
// may tear the newest meta page; bbolt then uses the other one. The log determines
// whether the torn transaction may be lost, by way of minTransaction. torn describes
// the damage to the pages; it is nil if there is none.
//
// A page with a damaged header and a valid meta is usable, since bbolt uses it: the next
// transaction then overwrites the other page, and a power loss meanwhile may leave the
// damaged header as the only damage to the newest meta.
func checkBoltMetas(path string, file io.ReaderAt, minTransaction uint64) (torn, err error) {
	first, firstErr := readBoltMeta(path, file, 0, 0)
	if firstErr != nil && !errors.Is(firstErr, ErrCorrupt) {
		return nil, firstErr
	}
	pageSize := first.pageSize
	if !first.usable() {
		// The page size in a damaged meta is unusable. The file was created with
		// the machine's page size.
		pageSize = int64(os.Getpagesize())
	}
	second, secondErr := readBoltMeta(path, file, 1, pageSize)
	if secondErr != nil && !errors.Is(secondErr, ErrCorrupt) {
		return nil, secondErr
	}
	torn = errors.Join(firstErr, secondErr)
	if !first.usable() && !second.usable() {
		return nil, torn
	}
	newest := max(first.transaction, second.transaction)
	if newest < minTransaction {
		return nil, errors.Join(datafile.NewCorruptError(path, "newest transaction is %d, expected at least %d", newest, minTransaction), torn)
	}
	return torn, nil
}

// usable reports whether the meta itself is valid.
func (m boltMeta) usable() bool { return m.pageSize != 0 }

// readBoltMeta reads and verifies one meta page. It returns ErrCorrupt if the page is
// damaged or truncated, with the meta if only the page's header is damaged.
func readBoltMeta(path string, file io.ReaderAt, page, pageSize int64) (boltMeta, error) {
	content := make([]byte, boltPageHeaderSize+boltMetaSize)
	_, err := file.ReadAt(content, page*pageSize)
	if errors.Is(err, io.EOF) {
		return boltMeta{}, datafile.NewCorruptError(path, "meta page %d is cut off", page)
	}
	if err != nil {
		return boltMeta{}, fmt.Errorf("read %s: %w", path, err)
	}
	header := make([]byte, boltPageHeaderSize)
	binary.NativeEndian.PutUint64(header, uint64(page))
	binary.NativeEndian.PutUint16(header[8:], boltMetaFlag)
	meta, err := decodeBoltMeta(path, page, content[boltPageHeaderSize:])
	if err == nil && !bytes.Equal(content[:boltPageHeaderSize], header) {
		err = datafile.NewCorruptError(path, "meta page %d has header %x", page, content[:boltPageHeaderSize])
	}
	return meta, err
}

// decodeBoltMeta verifies and decodes a meta without its page header.
func decodeBoltMeta(path string, page int64, meta []byte) (boltMeta, error) {
	if magic := binary.NativeEndian.Uint32(meta); magic != boltMagic {
		return boltMeta{}, datafile.NewCorruptError(path, "meta page %d starts with %08x, expected %08x", page, magic, uint32(boltMagic))
	}
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:boltChecksumOffset])
	want := binary.NativeEndian.Uint64(meta[boltChecksumOffset:])
	if got := sum.Sum64(); got != want {
		return boltMeta{}, datafile.NewCorruptError(path, "meta page %d has checksum %016x, expected %016x", page, got, want)
	}
	pageSize := int64(binary.NativeEndian.Uint32(meta[boltPageSizeOffset:]))
	if pageSize < boltMinPageSize || pageSize > boltMaxPageSize {
		return boltMeta{}, datafile.NewCorruptError(path, "meta page %d names a page size of %d bytes", page, pageSize)
	}
	return boltMeta{pageSize: pageSize, transaction: binary.NativeEndian.Uint64(meta[boltTransactionOffset:])}, nil
}
