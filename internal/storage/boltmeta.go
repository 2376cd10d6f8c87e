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

// Layout of a bbolt file's two meta pages (bbolt, internal/common/meta.go and
// page.go): after the page header, which is page number (8) and flags (2) and
// zeros, come magic, version, page size, flags (4 bytes each),
// root (16), free list, high water mark, transaction (8 each) and, over all
// these, an FNV-1a checksum (8), in the byte order of the machine.
const (
	boltMetaPages     = 2
	boltMetaFlag      = 4
	boltPageHeader    = 16
	boltMagic         = 0xED0CDAED
	boltPageSizeAt    = 8
	boltTransactionAt = 48
	boltChecksumAt    = 56
	boltMetaSize      = boltChecksumAt + 8
	boltMinPageSize   = 512
	boltMaxPageSize   = 1 << 16
)

// boltMeta is what is used of a meta page.
type boltMeta struct {
	pageSize    int64
	transaction uint64
}

// checkBoltMetas rejects a file without a valid meta page, or whose newest
// transaction is older than the one needed. bbolt writes the meta pages in turn
// and each after the pages that it names are durable, so a loss of power may
// tear the newest; bbolt then uses the other one. Whether the transaction of the
// torn one may be lost is known to the log. torn says what is wrong with it.
func checkBoltMetas(path string, file io.ReaderAt, needed uint64) (torn, err error) {
	first, firstErr := readBoltMeta(path, file, 0, 0)
	if errors.Is(firstErr, ErrCorrupt) {
		// Its page size cannot be trusted; only the machine's is ever used.
		first.pageSize = int64(os.Getpagesize())
	} else if firstErr != nil {
		return nil, firstErr
	}
	second, secondErr := readBoltMeta(path, file, 1, first.pageSize)
	if secondErr != nil && !errors.Is(secondErr, ErrCorrupt) {
		return nil, secondErr
	}
	torn = errors.Join(firstErr, secondErr)
	if firstErr != nil && secondErr != nil {
		return nil, torn
	}
	newest := max(first.transaction, second.transaction)
	if newest < needed {
		return nil, errors.Join(datafile.Corrupt(path, "newest transaction is %d, expected at least %d", newest, needed), torn)
	}
	return torn, nil
}

// readBoltMeta reads one meta page; damage is ErrCorrupt.
func readBoltMeta(path string, file io.ReaderAt, page, pageSize int64) (boltMeta, error) {
	content := make([]byte, boltPageHeader+boltMetaSize)
	_, err := file.ReadAt(content, page*pageSize)
	if errors.Is(err, io.EOF) {
		return boltMeta{}, datafile.Corrupt(path, "meta page %d is cut off", page)
	}
	if err != nil {
		return boltMeta{}, fmt.Errorf("read %s: %w", path, err)
	}
	header := make([]byte, boltPageHeader)
	binary.NativeEndian.PutUint64(header, uint64(page))
	binary.NativeEndian.PutUint16(header[8:], boltMetaFlag)
	if !bytes.Equal(content[:boltPageHeader], header) {
		return boltMeta{}, datafile.Corrupt(path, "meta page %d has header %x", page, content[:boltPageHeader])
	}
	return decodeBoltMeta(path, page, content[boltPageHeader:])
}

func decodeBoltMeta(path string, page int64, meta []byte) (boltMeta, error) {
	if magic := binary.NativeEndian.Uint32(meta); magic != boltMagic {
		return boltMeta{}, datafile.Corrupt(path, "meta page %d starts with %08x, expected %08x", page, magic, uint32(boltMagic))
	}
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:boltChecksumAt])
	want := binary.NativeEndian.Uint64(meta[boltChecksumAt:])
	if got := sum.Sum64(); got != want {
		return boltMeta{}, datafile.Corrupt(path, "meta page %d has checksum %016x, expected %016x", page, got, want)
	}
	pageSize := int64(binary.NativeEndian.Uint32(meta[boltPageSizeAt:]))
	if pageSize < boltMinPageSize || pageSize > boltMaxPageSize {
		return boltMeta{}, datafile.Corrupt(path, "meta page %d names a page size of %d bytes", page, pageSize)
	}
	return boltMeta{pageSize: pageSize, transaction: binary.NativeEndian.Uint64(meta[boltTransactionAt:])}, nil
}
