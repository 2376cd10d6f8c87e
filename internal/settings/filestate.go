package settings

import (
	"os"
	"syscall"
	"time"
)

// fileState tells two states of a file apart without reading it.
type fileState struct {
	known    bool
	size     int64
	modified time.Time
	inode    uint64
}

// stateOf reads the state; a file that cannot be found has none.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	state := fileState{known: true, size: info.Size(), modified: info.ModTime()}
	if system, ok := info.Sys().(*syscall.Stat_t); ok {
		state.inode = system.Ino
	}
	return state
}

// surelyUnchanged reports whether the file had this state and content at the
// last look already.
func (s fileState) surelyUnchanged(before fileState, now time.Time) bool {
	return s.known && s == before && now.Sub(s.modified) > recentChange
}

// mayHaveChanged looks at the file's state. It is read only if this returns
// true; the state is taken before, so that a later change makes another one.
func (w *Watcher[T]) mayHaveChanged(now time.Time) bool {
	if w.path == "" {
		return false
	}
	state := stateOf(w.path)
	unchanged := state.surelyUnchanged(w.polled, now)
	w.polled = state
	return !unchanged
}
