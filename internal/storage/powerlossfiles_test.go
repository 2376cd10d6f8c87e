package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// powerLossFiles is a datafile.FileSystem in memory. It keeps what was synced apart from
// what was not; at a power loss each unsynced write is kept, lost or torn, and
// each unsynced change of a name kept or lost, by itself.
type powerLossFiles struct {
	random *rand.Rand
	names  map[string]*powerLossNode
	// durable are the names as of the last sync of the directory, or of the file
	// for one that was made since.
	durable map[string]*powerLossNode
	// failAfter is the number of writes and syncs that still succeed; negative
	// for all.
	failAfter int
	// full rejects new files, growth and writes, of which a part may be there; syncs
	// and removals go on.
	full bool
	// syncs, directorySyncs and writes are counted.
	syncs, directorySyncs, writes int
}

// powerLossNode is a file.
type powerLossNode struct {
	content []byte
	durable []byte
	// unsynced changes, oldest first.
	unsynced []powerLossWrite
}

// powerLossWrite is a write, or a change of length if data is nil.
type powerLossWrite struct {
	at   int64
	data []byte
}

var (
	_           datafile.FileSystem = (*powerLossFiles)(nil)
	errPowerOff                     = errors.New("the power is off")
)

func newPowerLossFiles(seed uint64) *powerLossFiles {
	return &powerLossFiles{
		random:    rand.New(rand.NewPCG(seed, 1)),
		names:     make(map[string]*powerLossNode),
		durable:   make(map[string]*powerLossNode),
		failAfter: -1,
	}
}

// put places a durable file.
func (p *powerLossFiles) put(path string, content []byte) {
	node := &powerLossNode{content: slices.Clone(content), durable: slices.Clone(content)}
	p.names[path], p.durable[path] = node, node
}

func (p *powerLossFiles) content(path string) []byte { return slices.Clone(p.names[path].content) }

// bytes is the length of all files.
func (p *powerLossFiles) bytes() int {
	total := 0
	for _, node := range p.names {
		total += len(node.content)
	}
	return total
}

// growth is step for what a full disk rejects.
func (p *powerLossFiles) growth() error {
	if p.full {
		return syscall.ENOSPC
	}
	return p.step()
}

// step counts a write or sync, and fails it once the power is off.
func (p *powerLossFiles) step() error {
	if p.failAfter == 0 {
		return errPowerOff
	}
	if p.failAfter > 0 {
		p.failAfter--
	}
	return nil
}

// killProcess ends the writer alone: nothing is lost.
func (p *powerLossFiles) killProcess() { p.failAfter = -1 }

// loseAllUnsynced is a power loss after which nothing unsynced is there.
func (p *powerLossFiles) loseAllUnsynced() {
	p.failAfter = -1
	p.names = maps.Clone(p.durable)
	for _, node := range p.names {
		node.content, node.unsynced = slices.Clone(node.durable), nil
	}
}

// losePower decides on each unsynced write and name by itself.
func (p *powerLossFiles) losePower() {
	p.failAfter = -1
	survived := maps.Clone(p.durable)
	for _, path := range slices.Sorted(maps.Keys(union(p.names, p.durable))) {
		if p.names[path] == p.durable[path] || p.random.IntN(2) == 0 {
			continue
		}
		if node := p.names[path]; node != nil {
			survived[path] = node
		} else {
			delete(survived, path)
		}
	}
	seen := make(map[*powerLossNode]bool)
	for _, path := range slices.Sorted(maps.Keys(survived)) {
		if node := survived[path]; !seen[node] {
			seen[node] = true
			node.tear(p.random)
		}
	}
	// A file of two names would not be two files.
	owners := make(map[*powerLossNode]bool)
	for path, node := range survived {
		if owners[node] {
			copied := powerLossNode{content: slices.Clone(node.content), durable: slices.Clone(node.durable)}
			survived[path] = &copied
		}
		owners[node] = true
	}
	p.names, p.durable = survived, maps.Clone(survived)
}

func union(a, b map[string]*powerLossNode) map[string]*powerLossNode {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// tear keeps, loses or tears each unsynced write.
func (n *powerLossNode) tear(random *rand.Rand) {
	content := slices.Clone(n.durable)
	for _, write := range n.unsynced {
		if write.data == nil {
			if random.IntN(2) == 0 {
				content = resized(content, write.at)
			}
			continue
		}
		from, to := 0, len(write.data)
		switch random.IntN(5) {
		case 0:
			continue
		case 1: // its start is there
			to = random.IntN(len(write.data) + 1)
		case 2: // its end is there
			from = random.IntN(len(write.data) + 1)
		case 3: // garbage is there
			garbage := slices.Clone(write.data)
			for range 1 + random.IntN(8) {
				garbage[random.IntN(len(garbage))] = byte(random.Uint32())
			}
			write.data = garbage
		}
		content = overwritten(content, write.at+int64(from), write.data[from:to])
	}
	n.content, n.durable, n.unsynced = content, slices.Clone(content), nil
}

func resized(content []byte, size int64) []byte {
	if int64(len(content)) > size {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

func overwritten(content []byte, at int64, data []byte) []byte {
	if end := at + int64(len(data)); end > int64(len(content)) {
		content = resized(content, end)
	}
	copy(content[at:], data)
	return content
}

func (p *powerLossFiles) Create(path string) (datafile.File, error) {
	if err := p.growth(); err != nil {
		return nil, err
	}
	if node := p.names[path]; node != nil && p.durable[path] == node {
		// Cutting an existing file to nothing is a change of its length.
		node.unsynced = append(node.unsynced, powerLossWrite{})
		node.content = nil
		return &powerLossFile{files: p, path: path, node: node}, nil
	}
	p.names[path] = &powerLossNode{}
	return &powerLossFile{files: p, path: path, node: p.names[path]}, nil
}

func (p *powerLossFiles) Open(path string) (datafile.File, error) {
	node := p.names[path]
	if node == nil {
		return nil, fmt.Errorf("open %s: %w", path, fs.ErrNotExist)
	}
	return &powerLossFile{files: p, path: path, node: node}, nil
}

func (p *powerLossFiles) Rename(from, to string) error {
	if err := p.step(); err != nil {
		return err
	}
	p.names[to] = p.names[from]
	delete(p.names, from)
	return nil
}

func (p *powerLossFiles) Remove(path string) error {
	if err := p.step(); err != nil {
		return err
	}
	if p.names[path] == nil {
		return fmt.Errorf("remove %s: %w", path, fs.ErrNotExist)
	}
	delete(p.names, path)
	return nil
}

func (p *powerLossFiles) Names(directory string) ([]string, error) {
	var names []string
	for path := range p.names {
		if filepath.Dir(path) == directory {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (p *powerLossFiles) SyncDirectory(string) error {
	if err := p.step(); err != nil {
		return err
	}
	p.directorySyncs++
	p.durable = maps.Clone(p.names)
	return nil
}

type powerLossFile struct {
	files *powerLossFiles
	path  string
	node  *powerLossNode
}

func (f *powerLossFile) ReadAt(into []byte, at int64) (int, error) {
	if at >= int64(len(f.node.content)) {
		return 0, io.EOF
	}
	n := copy(into, f.node.content[at:])
	if n < len(into) {
		return n, io.EOF
	}
	return n, nil
}

func (f *powerLossFile) WriteAt(data []byte, at int64) (int, error) {
	f.files.writes++
	err := f.files.growth()
	if err != nil { // some of it may be there
		data = data[:f.files.random.IntN(len(data)+1)]
	}
	if len(data) > 0 {
		f.node.unsynced = append(f.node.unsynced, powerLossWrite{at: at, data: slices.Clone(data)})
		f.node.content = overwritten(f.node.content, at, data)
	}
	return len(data), err
}

func (f *powerLossFile) Truncate(size int64) error {
	if err := f.files.growth(); err != nil {
		return err
	}
	f.node.unsynced = append(f.node.unsynced, powerLossWrite{at: size})
	f.node.content = resized(slices.Clone(f.node.content), size)
	return nil
}

func (f *powerLossFile) Size() (int64, error) { return int64(len(f.node.content)), nil }

func (f *powerLossFile) Sync() error {
	if err := f.files.step(); err != nil {
		return err
	}
	f.files.syncs++
	f.node.durable, f.node.unsynced = slices.Clone(f.node.content), nil
	return nil
}

func (f *powerLossFile) Close() error { return nil }
