package settings

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const goodFront = `
name: f1
zone: z1
listen: 127.0.0.1:7200
seeds: [127.0.0.1:7100]
`

// waitTimeout bounds each wait for a condition. It is not a bound on the watcher's delay.
const waitTimeout = 10 * time.Second

// watchedFront is a running watcher of a front's settings. applied receives the settings of
// each call of Apply, in order.
type watchedFront struct {
	*Watcher[Front]
	path    string
	applied chan Front
}

func startWatcher(t *testing.T, path string, interval time.Duration) *watchedFront {
	t.Helper()
	options := LoadOptions{Path: path}
	initial, err := Load[Front](options)
	if err != nil {
		t.Fatal(err)
	}
	applied := make(chan Front, 16)
	watcher, err := NewWatcher(WatchConfig[Front]{
		Options: options, Initial: initial, Interval: interval,
		Apply: func(settings Front) { applied <- settings },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return &watchedFront{Watcher: watcher, path: path, applied: applied}
}

func (w *watchedFront) next(t *testing.T) Front {
	t.Helper()
	select {
	case settings := <-w.applied:
		return settings
	case <-time.After(waitTimeout):
		t.Fatalf("time-out waiting for a call of Apply; last error: %v", w.LastError())
		return Front{}
	}
}

// eventually waits until reached returns true, and fails the test after waitTimeout.
func eventually(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("time-out waiting for %s", condition)
		}
	}
}

func TestWatcher_FileEventLoadsChange(t *testing.T) {
	w := startWatcher(t, settingsFile(t, goodFront), time.Hour)
	writeFile(t, w.path, goodFront+"max_inflight: 5\nlog: {level: debug}\n")
	if got := w.next(t); got.MaxInflight != 5 || got.Log.Level != "debug" {
		t.Fatalf("got %+v, want max_inflight 5 and log.level debug", got)
	}
	writeFile(t, w.path+".new", strings.Replace(goodFront, "z1", "z2", 1))
	if err := os.Rename(w.path+".new", w.path); err != nil {
		t.Fatal(err)
	}
	if got := w.next(t); got.Zone != "z2" || got.MaxInflight != 1024 {
		t.Fatalf("file replaced: got %+v, want zone z2 and max_inflight 1024", got)
	}
}

// linkedFile returns a file and a symbolic link to it in another folder. A change of the file
// causes no event in the link's folder.
func linkedFile(t *testing.T) (target, link string) {
	t.Helper()
	target = settingsFile(t, goodFront)
	link = filepath.Join(t.TempDir(), "link.yaml")
	if err := os.Symlink(target, link); err != nil {
		t.Fatal(err)
	}
	return target, link
}

func TestWatcher_PollLoadsChangeWithoutEvent(t *testing.T) {
	target, link := linkedFile(t)
	w := startWatcher(t, link, 10*time.Millisecond)
	writeFile(t, target, goodFront+"deadline: 9s\n")
	if got := w.next(t); got.Deadline.Std() != 9*time.Second {
		t.Fatalf("got %+v, want deadline 9s", got)
	}
}

func TestWatcher_HangupAndReloadReadFile(t *testing.T) {
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGHUP) // prevents the signal's default action, which ends the test process
	defer signal.Stop(ignored)
	target, link := linkedFile(t)
	w := startWatcher(t, link, time.Hour)
	writeFile(t, target, goodFront+"deadline: 8s\n")
	w.Reload()
	if got := w.next(t); got.Deadline.Std() != 8*time.Second {
		t.Fatalf("after Reload: got %+v, want deadline 8s", got)
	}
	writeFile(t, target, goodFront+"deadline: 9s\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := w.next(t); got.Deadline.Std() != 9*time.Second {
		t.Fatalf("after SIGHUP: got %+v, want deadline 9s", got)
	}
}

// An invalid or removed file leaves the settings in force as they are, until the file is
// valid again.
func TestWatcher_InvalidFileChangesNothing(t *testing.T) {
	w := startWatcher(t, settingsFile(t, goodFront), time.Hour)
	writeFile(t, w.path, goodFront+"max_inflight: none\n")
	eventually(t, "an error about max_inflight", func() bool { return w.LastError() != nil })
	wantError(t, w.LastError(), `max_inflight "none": expected a whole number`)
	if err := os.Remove(w.path); err != nil {
		t.Fatal(err)
	}
	eventually(t, "an error about the unreadable file", func() bool {
		err := w.LastError()
		return err != nil && strings.Contains(err.Error(), "readable")
	})
	writeFile(t, w.path, goodFront+"max_inflight: 6\n")
	if got := w.next(t); got.MaxInflight != 6 {
		t.Fatalf("first settings applied after the invalid files: got %+v, want max_inflight 6", got)
	}
	eventually(t, "no error", func() bool { return w.LastError() == nil })
}

func TestWatcher_ReportsKeysPendingRestart(t *testing.T) {
	w := startWatcher(t, settingsFile(t, goodFront), time.Hour)
	writeFile(t, w.path, strings.Replace(goodFront, ":7200", ":7201", 1)+"log: {format: json}\nmax_inflight: 7\n")
	got := w.next(t)
	if got.MaxInflight != 7 || got.Listen != "127.0.0.1:7200" || got.Log.Format != "text" {
		t.Fatalf("got %+v, want max_inflight 7, and listen and log.format unchanged", got)
	}
	if pending := w.PendingRestart(); !slices.Equal(pending, []string{"listen", "log.format"}) {
		t.Fatalf("got pending keys %v, want listen and log.format", pending)
	}
	writeFile(t, w.path, goodFront+"max_inflight: 7\n")
	eventually(t, "no pending keys", func() bool { return len(w.PendingRestart()) == 0 })
	if len(w.applied) != 0 {
		t.Fatal("file without a live change: got a call of Apply, want none")
	}
}

func TestWatch_LoadsChangeMadeBeforeStart(t *testing.T) {
	path := settingsFile(t, goodFront+"max_inflight: 9\n")
	initial, err := Load[Front](LoadOptions{Path: settingsFile(t, goodFront)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var got Front
	err = Watch(ctx, WatchConfig[Front]{
		Options: LoadOptions{Path: path}, Initial: initial,
		Apply: func(settings Front) { got = settings; cancel() },
	})
	if err != nil || got.MaxInflight != 9 {
		t.Fatalf("got %+v, error %v, want max_inflight 9 and no error", got, err)
	}
}

func TestSettingsOf_LiveKeys(t *testing.T) {
	for _, test := range []struct {
		settings []setting
		want     []string
	}{
		{settingsOf(new(Scheduler)), []string{"zone", "seeds", "log.level", "test.wall_clock_offset"}},
		{settingsOf(new(Front)), []string{"zone", "seeds", "log.level", "test.wall_clock_offset", "deadline", "max_inflight"}},
		{settingsOf(new(Agent)), []string{"zone", "seeds", "log.level", "test.wall_clock_offset"}},
		{settingsOf(new(Worker)), []string{"log.level"}},
	} {
		var live []string
		for _, setting := range test.settings {
			if setting.live {
				live = append(live, setting.key)
			}
		}
		if !slices.Equal(live, test.want) {
			t.Errorf("got live keys %v, want %v", live, test.want)
		}
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
