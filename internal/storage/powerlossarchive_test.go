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

// powerLossDirectory is powerLossFiles for a whole data directory. bbolt needs a real file,
// so archive.db is one, and is followed here: what a transaction changed counts as
// the writes and syncs that bbolt made, in the order of its Tx.Commit: length,
// sync, data pages in any order, sync, meta page, sync.
type powerLossDirectory struct {
	*powerLossFiles
	directory string
	// failAtMeta: the power fails when the next meta page has been written.
	failAtMeta bool
}

// powerLossPageSize is the size of a page of the archive, in bytes.
var powerLossPageSize = os.Getpagesize()

func isArchiveFile(path string) bool { return strings.HasPrefix(filepath.Base(path), archiveFile) }

// Names first follows what bbolt did.
func (p *powerLossDirectory) Names(directory string) ([]string, error) {
	if err := p.follow(); err != nil {
		return nil, err
	}
	return p.powerLossFiles.Names(directory)
}

// Rename moves the real file as well.
func (p *powerLossDirectory) Rename(from, to string) error {
	if err := p.follow(); err != nil {
		return err
	}
	if err := p.powerLossFiles.Rename(from, to); err != nil || !isArchiveFile(from) {
		return err
	}
	return os.Rename(from, to)
}

// Remove removes the real file as well.
func (p *powerLossDirectory) Remove(path string) error {
	if err := p.powerLossFiles.Remove(path); err != nil || !isArchiveFile(path) {
		return err
	}
	if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDirectory is asked for after a file was made.
func (p *powerLossDirectory) SyncDirectory(directory string) error {
	if err := p.follow(); err != nil {
		return err
	}
	return p.powerLossFiles.SyncDirectory(directory)
}

// follow takes over what bbolt did to real files since the last call.
func (p *powerLossDirectory) follow() error {
	for _, name := range []string{archiveFile, archiveFile + datafile.UnfinishedSuffix} {
		path := filepath.Join(p.directory, name)
		content, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if err := p.followFile(path, content); err != nil {
			return err
		}
	}
	return nil
}

func (p *powerLossDirectory) followFile(path string, content []byte) error {
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
	return p.followCommit(file, content)
}

// followCommit writes the changed pages, the meta pages last.
func (p *powerLossDirectory) followCommit(file *powerLossFile, content []byte) error {
	var data, metas []int
	for at := 0; at < len(content); at += powerLossPageSize {
		switch {
		case bytes.Equal(pageAt(content, at), pageAt(file.node.content, at)):
		case at < 2*powerLossPageSize:
			metas = append(metas, at)
		default:
			data = append(data, at)
		}
	}
	p.random.Shuffle(len(data), func(i, j int) { data[i], data[j] = data[j], data[i] })
	if err := p.followPages(file, content, data); err != nil {
		return err
	}
	transaction := func(at int) uint64 {
		return binary.NativeEndian.Uint64(content[at+boltPageHeader+boltTransactionAt:])
	}
	slices.SortFunc(metas, func(a, b int) int { return cmp.Compare(transaction(a), transaction(b)) })
	for i := range metas { // each is of a transaction of its own, with its own sync
		if p.failAtMeta {
			p.failAfter, p.failAtMeta = 1, false
		}
		if err := p.followPages(file, content, metas[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

func (p *powerLossDirectory) followPages(file *powerLossFile, content []byte, pages []int) error {
	for _, at := range pages {
		if _, err := file.WriteAt(pageAt(content, at), int64(at)); err != nil {
			return err
		}
	}
	return file.Sync()
}

func pageAt(content []byte, at int) []byte {
	return content[at:min(at+powerLossPageSize, len(content))]
}

// restore makes the real files be what a fault left.
func (p *powerLossDirectory) restore() error {
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

// tornPages cuts unsynced pages into pieces, which are torn by themselves: at
// the sectors of a disk, or finer than the meta of bbolt.
func tornPages(random *rand.Rand, writes []powerLossWrite) []powerLossWrite {
	const sector, fine = 512, 16
	var pieces []powerLossWrite
	for _, write := range writes {
		if len(write.data) != powerLossPageSize || random.IntN(2) == 0 {
			pieces = append(pieces, write)
			continue
		}
		size := sector
		if random.IntN(2) == 0 {
			size = fine
		}
		for piece := range slices.Chunk(write.data, size) {
			pieces = append(pieces, powerLossWrite{at: write.at, data: piece})
			write.at += int64(size)
		}
	}
	return pieces
}
