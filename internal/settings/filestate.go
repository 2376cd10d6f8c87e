package settings

import (
	"os"
	"syscall"
	"time"
)

// fileState identifies a version of a file without its content. The zero value means that
// the file could not be examined.
type fileState struct {
	known    bool
	size     int64
	modified time.Time
	inode    uint64
}

// stateOf returns the file's state, or the zero value if stat fails.
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

// surelyUnchanged reports whether the file certainly has the same content as when it had the
// state before. It returns false for a file modified within recentChange before now.
func (s fileState) surelyUnchanged(before fileState, now time.Time) bool {
	return s.known && s == before && now.Sub(s.modified) > recentChange
}

// mayHaveChanged reports whether the file may have changed since the last call, and records
// its state. The poll reads the file only if it returns true. The state is recorded before
// the file is read, so that the next poll notices a change made after it.
func (w *Watcher[T]) mayHaveChanged(now time.Time) bool {
	if w.path == "" {
		return false
	}
	state := stateOf(w.path)
	unchanged := state.surelyUnchanged(w.polledState, now)
	w.polledState = state
	return !unchanged
}
