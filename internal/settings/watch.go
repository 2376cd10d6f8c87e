package settings

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	defaultPollInterval = time.Second
	// recentChange is the age of a modification below which an equal modification time does
	// not prove that the file is unchanged: a later write may fall into the same tick of
	// the file system's clock.
	recentChange = 2 * time.Second
	// stableTime is how long a changed content must stay the same before it is loaded, so
	// that a partly written file is not loaded.
	stableTime = 50 * time.Millisecond
)

// WatchConfig configures a Watcher. Options and Initial are required; any other zero field
// means its default.
type WatchConfig[T any] struct {
	// Options are the options with which Initial was loaded.
	Options LoadOptions
	// Initial are the settings in force at the start.
	Initial T
	// Interval is the time between two polls of the file, which find changes that fsnotify
	// does not report. A poll costs one stat unless the file may have changed. Default 1s.
	Interval time.Duration
	// Live returns the settings before with those changes of after that can take effect
	// without a restart, and the changed keys that need one. Default: LiveKeys.
	Live func(before, after T) (applied T, restartOnly []string)
	// Apply puts changed settings in force. Only the goroutine of Run calls it. Default: no
	// call.
	Apply func(T)
	// Logger logs changes and errors. Default: discard.
	Logger *slog.Logger
}

// Watcher updates the settings in force when the settings file changes. An invalid file
// changes nothing. Events of fsnotify and a poll detect a change of the file's content; SIGHUP
// and Reload make the watcher load the file at once.
type Watcher[T any] struct {
	config WatchConfig[T]
	path   string
	reload chan struct{}

	// The fields up to polledState are used only by the goroutine of Run. current are the
	// settings in force. loadedDigest identifies the content last loaded, valid or not;
	// candidateDigest the content last read. stableTimer fires after stableTime.
	current                       T
	loadedDigest, candidateDigest [sha256.Size]byte
	stableTimer                   *time.Timer
	// polledState is the file's state at the last poll.
	polledState fileState

	mutex          sync.Mutex
	pendingRestart []string
	lastError      error
}

// NewWatcher returns a watcher; Run starts it. It fails if the flag --settings cannot be read.
func NewWatcher[T any](config WatchConfig[T]) (*Watcher[T], error) {
	path, err := settingsPath(config.Options)
	if err != nil {
		return nil, err
	}
	if config.Interval <= 0 {
		config.Interval = defaultPollInterval
	}
	if config.Live == nil {
		config.Live = LiveKeys[T]
	}
	if config.Apply == nil {
		config.Apply = func(T) {}
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Watcher[T]{config: config, path: path, reload: make(chan struct{}, 1), current: config.Initial}, nil
}

// Watch runs a new watcher until the context ends; then it returns nil.
func Watch[T any](ctx context.Context, config WatchConfig[T]) error {
	watcher, err := NewWatcher(config)
	if err != nil {
		return err
	}
	return watcher.Run(ctx)
}

// Reload makes Run load the file, even if it has not changed. It does not block.
func (w *Watcher[T]) Reload() {
	select {
	case w.reload <- struct{}{}:
	default: // a reload is pending already
	}
}

// PendingRestart returns the keys whose values in the file differ from the settings in
// force and take effect only after a restart. It is safe for concurrent use.
func (w *Watcher[T]) PendingRestart() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.pendingRestart)
}

// LastError returns the error of the last load of the file, or nil. It is safe for concurrent
// use.
func (w *Watcher[T]) LastError() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastError
}

// Run watches the file until the context ends; then it returns nil.
func (w *Watcher[T]) Run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	files, closeFiles := w.watchFolder()
	defer closeFiles()
	poll := time.NewTicker(w.config.Interval)
	defer poll.Stop()
	w.stableTimer = time.NewTimer(stableTime)
	defer w.stableTimer.Stop()
	w.checkFile() // detects a change made since Initial was loaded
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-files.Events:
			w.handleEvent(event)
		case err := <-files.Errors:
			w.config.Logger.Warn("file notification failed, polling still detects changes", slog.Any("error", err))
		case <-w.stableTimer.C:
			w.loadIfStable()
		case now := <-poll.C:
			if w.mayHaveChanged(now) {
				w.checkFile()
			}
		case <-hangups:
			w.reloadNow()
		case <-w.reload:
			w.reloadNow()
		}
	}
}

// watchFolder watches the file's folder, since files are often replaced by a rename instead of
// written. If that fails, the returned watcher has no events, and only the poll detects
// changes.
func (w *Watcher[T]) watchFolder() (files *fsnotify.Watcher, closeFiles func()) {
	files, err := fsnotify.NewWatcher()
	if err != nil {
		w.config.Logger.Info("no file events, polling only", slog.Any("error", err))
		return &fsnotify.Watcher{}, func() {}
	}
	closeFiles = func() { _ = files.Close() } // the watch has ended, so an error has no effect
	if w.path == "" {
		return files, closeFiles
	}
	if err := files.Add(filepath.Dir(w.path)); err != nil {
		w.config.Logger.Info("no file events, polling only", slog.Any("error", err))
	}
	return files, closeFiles
}

// handleEvent checks the file after an event about it, and ignores the folder's other files.
func (w *Watcher[T]) handleEvent(event fsnotify.Event) {
	if filepath.Base(event.Name) == filepath.Base(w.path) {
		w.checkFile()
	}
}

// checkFile reads the file. Content that differs from the candidate becomes the candidate and
// restarts stableTimer; loadIfStable then loads it.
func (w *Watcher[T]) checkFile() {
	if w.path == "" {
		return
	}
	content, err := readFile(w.path)
	w.setCandidate(digestOf(content, err))
}

// loadIfStable is called when stableTimer fires. It loads the file if its content differs from
// the content last loaded and is still that of the candidate.
func (w *Watcher[T]) loadIfStable() {
	if w.path == "" {
		return
	}
	content, err := readFile(w.path)
	digest := digestOf(content, err)
	if digest == w.loadedDigest || digest != w.candidateDigest {
		w.setCandidate(digest)
		return
	}
	w.loadedDigest = digest
	w.load(content, err)
}

// setCandidate records the content last read. If that changed the candidate, and the content is
// not the one last loaded, it restarts stableTimer.
func (w *Watcher[T]) setCandidate(digest [sha256.Size]byte) {
	changed := digest != w.candidateDigest
	w.candidateDigest = digest
	if changed && digest != w.loadedDigest {
		w.stableTimer.Reset(stableTime)
	}
}

// reloadNow loads the file without waiting for stableTime, even if it has not changed: SIGHUP
// and Reload follow a completed write.
func (w *Watcher[T]) reloadNow() {
	content, err := readFile(w.path)
	w.loadedDigest = digestOf(content, err)
	w.candidateDigest = w.loadedDigest
	w.load(content, err)
}

// digestOf returns a digest that distinguishes contents, and errors of reading the file.
func digestOf(content []byte, err error) [sha256.Size]byte {
	if err != nil {
		return sha256.Sum256(fmt.Appendf(nil, "error: %v", err))
	}
	return sha256.Sum256(append([]byte("content: "), content...))
}

// load validates the content of the file, or the error of reading it, and applies valid
// settings. An error changes nothing; it is logged and returned by LastError.
func (w *Watcher[T]) load(content []byte, err error) {
	var loaded T
	if err == nil {
		loaded, err = parse[T](w.path, content, w.config.Options.Flags)
	}
	if err != nil {
		w.setError(err)
		w.config.Logger.Error("settings file is wrong, nothing changed", slog.String("file", w.path), slog.Any("error", err))
		return
	}
	w.setError(nil)
	w.apply(loaded)
}

// apply puts the live changes of the loaded settings in force, and records the keys that need a
// restart.
func (w *Watcher[T]) apply(loaded T) {
	applied, restartOnly := w.config.Live(w.current, loaded)
	w.setPendingRestart(restartOnly)
	changed := ChangedKeys(w.current, applied)
	if len(changed) == 0 {
		return
	}
	w.current = applied
	w.config.Apply(applied)
	w.config.Logger.Info("settings changed", slog.String("keys", strings.Join(changed, ",")))
}

func (w *Watcher[T]) setError(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastError = err
}

func (w *Watcher[T]) setPendingRestart(keys []string) {
	w.mutex.Lock()
	unchanged := slices.Equal(w.pendingRestart, keys)
	w.pendingRestart = slices.Clone(keys)
	w.mutex.Unlock()
	if !unchanged && len(keys) > 0 {
		w.config.Logger.Warn("settings changed that need a restart", slog.String("keys", strings.Join(keys, ",")))
	}
}
