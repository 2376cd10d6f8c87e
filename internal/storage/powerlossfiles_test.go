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

// powerLossFiles is a datafile.FileSystem in memory that stores synced and unsynced
// changes separately. At a power loss, each unsynced write independently survives, is
// lost or is torn, and each unsynced change of a name survives or is lost.
type powerLossFiles struct {
	random *rand.Rand
	names  map[string]*powerLossNode // the current files, by path
	// durableNames has the files by path as of the last sync of the directory.
	durableNames map[string]*powerLossNode
	// failAfter is the number of changes and syncs that succeed before all fail with
	// errPowerOff. A negative value means no limit.
	failAfter int
	// diskFull makes Create, Truncate and WriteAt fail with ENOSPC; a failed write may
	// leave a part of its data. Syncs, renames and removals still succeed.
	diskFull bool
	// syncs and directorySyncs count the successful syncs, writes all calls of WriteAt.
	syncs, directorySyncs, writes int
}

// powerLossNode is the content of a file, independent of its name.
type powerLossNode struct {
	content []byte // current content, including unsynced writes
	durable []byte // content at the last sync
	// unsynced has the changes since the last sync, oldest first.
	unsynced []powerLossWrite
}

// powerLossWrite is a write of data at offset or, if data is nil, a change of the file's
// length to offset.
type powerLossWrite struct {
	offset int64
	data   []byte
}

var (
	_           datafile.FileSystem = (*powerLossFiles)(nil)
	errPowerOff                     = errors.New("simulated power loss")
)

func newPowerLossFiles(seed uint64) *powerLossFiles {
	return &powerLossFiles{
		random:       rand.New(rand.NewPCG(seed, 1)),
		names:        make(map[string]*powerLossNode),
		durableNames: make(map[string]*powerLossNode),
		failAfter:    -1,
	}
}

// addDurableFile stores a file with durable content and name.
func (p *powerLossFiles) addDurableFile(path string, content []byte) {
	node := &powerLossNode{content: slices.Clone(content), durable: slices.Clone(content)}
	p.names[path], p.durableNames[path] = node, node
}

func (p *powerLossFiles) content(path string) []byte { return slices.Clone(p.names[path].content) }

// totalBytes returns the total length of all files.
func (p *powerLossFiles) totalBytes() int {
	total := 0
	for _, node := range p.names {
		total += len(node.content)
	}
	return total
}

// countGrowth is countOperation for operations that a full disk rejects.
func (p *powerLossFiles) countGrowth() error {
	if p.diskFull {
		return syscall.ENOSPC
	}
	return p.countOperation()
}

// countOperation counts a change or sync against failAfter, and returns errPowerOff once
// none is left.
func (p *powerLossFiles) countOperation() error {
	if p.failAfter == 0 {
		return errPowerOff
	}
	if p.failAfter > 0 {
		p.failAfter--
	}
	return nil
}

// killProcess simulates a kill of the process without a power loss: nothing is lost.
func (p *powerLossFiles) killProcess() { p.failAfter = -1 }

// loseAllUnsynced simulates a power loss that loses every unsynced change.
func (p *powerLossFiles) loseAllUnsynced() {
	p.failAfter = -1
	p.names = maps.Clone(p.durableNames)
	for _, node := range p.names {
		node.content, node.unsynced = slices.Clone(node.durable), nil
	}
}

// losePower simulates a power loss that decides independently on each unsynced write and
// name.
func (p *powerLossFiles) losePower() {
	p.failAfter = -1
	survived := maps.Clone(p.durableNames)
	for _, path := range slices.Sorted(maps.Keys(union(p.names, p.durableNames))) {
		if p.names[path] == p.durableNames[path] || p.random.IntN(2) == 0 {
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
			node.applyPowerLoss(p.random)
		}
	}
	// If only half of a rename survived, both names have the same node. Each name gets
	// a node of its own, so that a change of one file does not change the other.
	owners := make(map[*powerLossNode]bool)
	for path, node := range survived {
		if owners[node] {
			copied := powerLossNode{content: slices.Clone(node.content), durable: slices.Clone(node.durable)}
			survived[path] = &copied
		}
		owners[node] = true
	}
	p.names, p.durableNames = survived, maps.Clone(survived)
}

func union(a, b map[string]*powerLossNode) map[string]*powerLossNode {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// applyPowerLoss applies, drops or tears each unsynced write.
func (n *powerLossNode) applyPowerLoss(random *rand.Rand) {
	content := slices.Clone(n.durable)
	for _, write := range n.unsynced {
		if write.data == nil {
			if random.IntN(2) == 0 {
				content = resized(content, write.offset)
			}
			continue
		}
		from, to := 0, len(write.data)
		switch random.IntN(5) {
		case 0:
			continue
		case 1: // only the start of the write survives
			to = random.IntN(len(write.data) + 1)
		case 2: // only the end of the write survives
			from = random.IntN(len(write.data) + 1)
		case 3: // some bytes are garbage
			garbage := slices.Clone(write.data)
			for range 1 + random.IntN(8) {
				garbage[random.IntN(len(garbage))] = byte(random.Uint32())
			}
			write.data = garbage
		}
		content = overwritten(content, write.offset+int64(from), write.data[from:to])
	}
	n.content, n.durable, n.unsynced = content, slices.Clone(content), nil
}

// resized returns content cut or extended with zeros to the given size.
func resized(content []byte, size int64) []byte {
	if int64(len(content)) > size {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

// overwritten returns content with data written at an offset, extended if necessary.
func overwritten(content []byte, offset int64, data []byte) []byte {
	if end := offset + int64(len(data)); end > int64(len(content)) {
		content = resized(content, end)
	}
	copy(content[offset:], data)
	return content
}

func (p *powerLossFiles) Create(path string) (datafile.File, error) {
	if err := p.countGrowth(); err != nil {
		return nil, err
	}
	if node := p.names[path]; node != nil && p.durableNames[path] == node {
		// Truncating an existing file is an unsynced change of its length to 0.
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
	if err := p.countOperation(); err != nil {
		return err
	}
	p.names[to] = p.names[from]
	delete(p.names, from)
	return nil
}

func (p *powerLossFiles) Remove(path string) error {
	if err := p.countOperation(); err != nil {
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
	if err := p.countOperation(); err != nil {
		return err
	}
	p.directorySyncs++
	p.durableNames = maps.Clone(p.names)
	return nil
}

// powerLossFile is an open file of powerLossFiles.
type powerLossFile struct {
	files *powerLossFiles
	path  string
	node  *powerLossNode
}

func (f *powerLossFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if offset >= int64(len(f.node.content)) {
		return 0, io.EOF
	}
	n := copy(buffer, f.node.content[offset:])
	if n < len(buffer) {
		return n, io.EOF
	}
	return n, nil
}

func (f *powerLossFile) WriteAt(data []byte, offset int64) (int, error) {
	f.files.writes++
	err := f.files.countGrowth()
	if err != nil { // a part of the data may have been written
		data = data[:f.files.random.IntN(len(data)+1)]
	}
	if len(data) > 0 {
		f.node.unsynced = append(f.node.unsynced, powerLossWrite{offset: offset, data: slices.Clone(data)})
		f.node.content = overwritten(f.node.content, offset, data)
	}
	return len(data), err
}

func (f *powerLossFile) Truncate(size int64) error {
	if err := f.files.countGrowth(); err != nil {
		return err
	}
	f.node.unsynced = append(f.node.unsynced, powerLossWrite{offset: size})
	f.node.content = resized(slices.Clone(f.node.content), size)
	return nil
}

func (f *powerLossFile) Size() (int64, error) { return int64(len(f.node.content)), nil }

func (f *powerLossFile) Sync() error {
	if err := f.files.countOperation(); err != nil {
		return err
	}
	f.files.syncs++
	f.node.durable, f.node.unsynced = slices.Clone(f.node.content), nil
	return nil
}

func (f *powerLossFile) Close() error { return nil }
