package storage

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// powerLossDirectory is powerLossFiles for a complete data directory. bbolt needs a real
// file, so archive.db is one, and its changes are mirrored into powerLossFiles as the
// writes and syncs that bbolt makes in Tx.Commit: length, sync, data pages in any
// order, sync, meta page, sync.
type powerLossDirectory struct {
	*powerLossFiles
	directory string
	// failAtMetaSync makes the sync after the next write of a meta page fail.
	failAtMetaSync bool
}

// powerLossPageSize is the size of a page of the archive, in bytes.
var powerLossPageSize = os.Getpagesize()

// isArchiveFile reports whether path is the archive, finished or not.
func isArchiveFile(path string) bool { return strings.HasPrefix(filepath.Base(path), archiveFile) }

// Names mirrors the changes of bbolt first.
func (p *powerLossDirectory) Names(directory string) ([]string, error) {
	if err := p.mirrorArchive(); err != nil {
		return nil, err
	}
	return p.powerLossFiles.Names(directory)
}

// Rename also renames the real file if it is an archive.
func (p *powerLossDirectory) Rename(from, to string) error {
	if err := p.mirrorArchive(); err != nil {
		return err
	}
	if err := p.powerLossFiles.Rename(from, to); err != nil || !isArchiveFile(from) {
		return err
	}
	return os.Rename(from, to)
}

// Remove also removes the real file if it is an archive.
func (p *powerLossDirectory) Remove(path string) error {
	if err := p.powerLossFiles.Remove(path); err != nil || !isArchiveFile(path) {
		return err
	}
	if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDirectory mirrors the changes of bbolt first, so that the name of a file that
// bbolt created becomes durable.
func (p *powerLossDirectory) SyncDirectory(directory string) error {
	if err := p.mirrorArchive(); err != nil {
		return err
	}
	return p.powerLossFiles.SyncDirectory(directory)
}

// mirrorArchive applies the changes of bbolt to real files since the last call to
// powerLossFiles.
func (p *powerLossDirectory) mirrorArchive() error {
	for _, name := range []string{archiveFile, archiveFile + datafile.UnfinishedSuffix} {
		path := filepath.Join(p.directory, name)
		content, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if err := p.mirrorFile(path, content); err != nil {
			return err
		}
	}
	return nil
}

// mirrorFile applies the changes of one file, whose real content is given.
func (p *powerLossDirectory) mirrorFile(path string, content []byte) error {
	node := p.names[path]
	if node == nil {
		if _, err := p.Create(path); err != nil {
			return err
		}
		node = p.names[path]
	}
	if bytes.Equal(node.content, content) {
		return nil
	}
	file := &powerLossFile{files: p.powerLossFiles, path: path, node: node}
	if len(content) != len(node.content) {
		if err := file.Truncate(int64(len(content))); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
	}
	return p.mirrorCommit(file, content)
}

// mirrorCommit writes and syncs the changed data pages in random order, and then the
// changed meta pages, the older transaction first.
func (p *powerLossDirectory) mirrorCommit(file *powerLossFile, content []byte) error {
	var dataPages, metaPages []int
	for offset := 0; offset < len(content); offset += powerLossPageSize {
		switch {
		case bytes.Equal(pageAt(content, offset), pageAt(file.node.content, offset)):
		case offset < 2*powerLossPageSize:
			metaPages = append(metaPages, offset)
		default:
			dataPages = append(dataPages, offset)
		}
	}
	p.random.Shuffle(len(dataPages), func(i, j int) { dataPages[i], dataPages[j] = dataPages[j], dataPages[i] })
	if err := p.mirrorPages(file, content, dataPages); err != nil {
		return err
	}
	transactionAt := func(offset int) uint64 {
		return binary.NativeEndian.Uint64(content[offset+boltPageHeaderSize+boltTransactionOffset:])
	}
	slices.SortFunc(metaPages, func(a, b int) int { return cmp.Compare(transactionAt(a), transactionAt(b)) })
	for i := range metaPages { // each belongs to a transaction of its own, with its own sync
		if p.failAtMetaSync {
			p.failAfter, p.failAtMetaSync = 1, false
		}
		if err := p.mirrorPages(file, content, metaPages[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

// mirrorPages writes the pages at the given offsets and syncs the file.
func (p *powerLossDirectory) mirrorPages(file *powerLossFile, content []byte, pages []int) error {
	for _, offset := range pages {
		if _, err := file.WriteAt(pageAt(content, offset), int64(offset)); err != nil {
			return err
		}
	}
	return file.Sync()
}

// pageAt returns the page at an offset.
func pageAt(content []byte, offset int) []byte {
	return content[offset:min(offset+powerLossPageSize, len(content))]
}

// restoreArchive replaces the real archive files with the content that the simulated
// fault left.
func (p *powerLossDirectory) restoreArchive() error {
	entries, err := os.ReadDir(p.directory)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if path := filepath.Join(p.directory, entry.Name()); isArchiveFile(path) {
			if err := os.Remove(path); err != nil {
				return err
			}
		}
	}
	for path, node := range p.names {
		if !isArchiveFile(path) {
			continue
		}
		if err := os.WriteFile(path, node.content, datafile.FilePermission); err != nil {
			return err
		}
	}
	return nil
}

// splitPageWrites splits about half of the page writes into pieces, so that a power loss
// decides on each piece independently. The pieces are disk sectors, or 16 bytes so that
// they are smaller than the meta of bbolt.
func splitPageWrites(random *rand.Rand, writes []powerLossWrite) []powerLossWrite {
	const sectorSize, fineSize = 512, 16
	var pieces []powerLossWrite
	for _, write := range writes {
		if len(write.data) != powerLossPageSize || random.IntN(2) == 0 {
			pieces = append(pieces, write)
			continue
		}
		pieceSize := sectorSize
		if random.IntN(2) == 0 {
			pieceSize = fineSize
		}
		for piece := range slices.Chunk(write.data, pieceSize) {
			pieces = append(pieces, powerLossWrite{offset: write.offset, data: piece})
			write.offset += int64(pieceSize)
		}
	}
	return pieces
}
