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
	// recentChange is the age below which a time of change does not tell that the
	// file is unchanged: another write may fall into the same tick of its clock.
	recentChange = 2 * time.Second
	// settleTime is how long a changed content must stay the same before it is
	// taken, so that a file half written is not.
	settleTime = 50 * time.Millisecond
)

// WatchConfig says what a Watcher watches. Options and Initial are required;
// any other zero field means its default.
type WatchConfig[T any] struct {
	// Options are those that Initial was loaded with.
	Options LoadOptions
	// Initial is in force at the start.
	Initial T
	// Interval is the pause between two looks at the file, behind fsnotify.
	// Default 1s. A look costs one stat unless the file changed.
	Interval time.Duration
	// Live returns what of the new settings can take effect at once, and the
	// keys that need a restart. Default: LiveKeys.
	Live func(before, after T) (applied T, restartOnly []string)
	// Apply puts settings in force. It is called by one goroutine.
	Apply func(T)
	// Logger takes changes and errors. Default: none.
	Logger *slog.Logger
}

// Watcher keeps the settings in force in step with the file. A file that is
// wrong changes nothing. A change of the file's content is noticed by fsnotify
// or, where that fails, by a poll; SIGHUP and Reload have it read at once.
type Watcher[T any] struct {
	config WatchConfig[T]
	path   string
	reload chan struct{}

	// These belong to the goroutine of Run. seen is the content last taken,
	// candidate the one last looked at.
	current         T
	seen, candidate [sha256.Size]byte
	settled         *time.Timer
	// polled is the file's state at the last look of the poll.
	polled fileState

	mutex          sync.Mutex
	pendingRestart []string
	lastError      error
}

// NewWatcher returns a watcher that Run sets to work.
func NewWatcher[T any](config WatchConfig[T]) (*Watcher[T], error) {
	path, err := fileOf(config.Options)
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

// Watch runs a new watcher until the context ends.
func Watch[T any](ctx context.Context, config WatchConfig[T]) error {
	watcher, err := NewWatcher(config)
	if err != nil {
		return err
	}
	return watcher.Run(ctx)
}

// Reload has the file read soon, whether it changed or not.
func (w *Watcher[T]) Reload() {
	select {
	case w.reload <- struct{}{}:
	default: // one is waiting already
	}
}

// PendingRestart returns the keys whose values in the file differ from those
// in force and take effect only after a restart.
func (w *Watcher[T]) PendingRestart() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.pendingRestart)
}

// LastError returns what is wrong with the file as last read, or nil.
func (w *Watcher[T]) LastError() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastError
}

// Run watches until the context ends; then it returns nil.
func (w *Watcher[T]) Run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	files, closeFiles := w.watchFolder()
	defer closeFiles()
	poll := time.NewTicker(w.config.Interval)
	defer poll.Stop()
	w.settled = time.NewTimer(settleTime)
	defer w.settled.Stop()
	w.look() // takes in what changed since Initial was loaded
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-files.Events:
			w.handle(event)
		case err := <-files.Errors:
			w.config.Logger.Warn("file events failed, the poll goes on", slog.Any("error", err))
		case <-w.settled.C:
			w.settle()
		case now := <-poll.C:
			if w.mayHaveChanged(now) {
				w.look()
			}
		case <-hangups:
			w.read()
		case <-w.reload:
			w.read()
		}
	}
}

// watchFolder watches the file's folder, since files are often replaced and
// not written. Where that fails the watcher has no events, and the poll does.
func (w *Watcher[T]) watchFolder() (files *fsnotify.Watcher, closeFiles func()) {
	files, err := fsnotify.NewWatcher()
	if err != nil {
		w.config.Logger.Info("no file events, polling only", slog.Any("error", err))
		return &fsnotify.Watcher{}, func() {}
	}
	closeFiles = func() { _ = files.Close() } // nothing depends on it any more
	if w.path == "" {
		return files, closeFiles
	}
	if err := files.Add(filepath.Dir(w.path)); err != nil {
		w.config.Logger.Info("no file events, polling only", slog.Any("error", err))
	}
	return files, closeFiles
}

// handle passes over the folder's other files, which may be busy.
func (w *Watcher[T]) handle(event fsnotify.Event) {
	if filepath.Base(event.Name) == filepath.Base(w.path) {
		w.look()
	}
}

// look reads the file. A content that it finds for the first time becomes the
// candidate and starts the settle time; settle then takes it.
func (w *Watcher[T]) look() {
	if w.path == "" {
		return
	}
	content, err := readFile(w.path)
	w.consider(digestOf(content, err))
}

// settle takes the file if it differs from what was taken and has stayed the
// same for the settle time.
func (w *Watcher[T]) settle() {
	if w.path == "" {
		return
	}
	content, err := readFile(w.path)
	digest := digestOf(content, err)
	if digest == w.seen || digest != w.candidate {
		w.consider(digest)
		return
	}
	w.seen = digest
	w.take(content, err)
}

func (w *Watcher[T]) consider(digest [sha256.Size]byte) {
	changed := digest != w.candidate
	w.candidate = digest
	if changed && digest != w.seen {
		w.settled.Reset(settleTime)
	}
}

// read takes the file at once, changed or not: whoever asks has written it.
func (w *Watcher[T]) read() {
	content, err := readFile(w.path)
	w.seen = digestOf(content, err)
	w.candidate = w.seen
	w.take(content, err)
}

// digestOf tells two contents, or two failures to read, apart.
func digestOf(content []byte, err error) [sha256.Size]byte {
	if err != nil {
		return sha256.Sum256(fmt.Appendf(nil, "error: %v", err))
	}
	return sha256.Sum256(append([]byte("content: "), content...))
}

func (w *Watcher[T]) take(content []byte, err error) {
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
	known := slices.Equal(w.pendingRestart, keys)
	w.pendingRestart = slices.Clone(keys)
	w.mutex.Unlock()
	if !known && len(keys) > 0 {
		w.config.Logger.Warn("settings changed that need a restart", slog.String("keys", strings.Join(keys, ",")))
	}
}
