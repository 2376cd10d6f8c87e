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

// patience bounds waits that fail the test; it is no part of any promise.
const patience = 10 * time.Second

// watched is a running watcher whose applied settings arrive in order.
type watched struct {
	*Watcher[Front]
	path    string
	applied chan Front
}

func startWatcher(t *testing.T, path string, interval time.Duration) *watched {
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
	return &watched{Watcher: watcher, path: path, applied: applied}
}

func (w *watched) next(t *testing.T) Front {
	t.Helper()
	select {
	case settings := <-w.applied:
		return settings
	case <-time.After(patience):
		t.Fatalf("no change was applied; last error: %v", w.LastError())
		return Front{}
	}
}

// eventually waits for a state that the watcher reaches by itself.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never reached: %s", what)
		}
	}
}

func TestSilentChangeIsNoticed(t *testing.T) {
	w := startWatcher(t, settingsFile(t, goodFront), time.Hour)
	writeFile(t, w.path, goodFront+"max_inflight: 5\nlog: {level: debug}\n")
	if got := w.next(t); got.MaxInflight != 5 || got.Log.Level != "debug" {
		t.Fatalf("applied %+v", got)
	}
	writeFile(t, w.path+".new", strings.Replace(goodFront, "z1", "z2", 1))
	if err := os.Rename(w.path+".new", w.path); err != nil {
		t.Fatal(err)
	}
	if got := w.next(t); got.Zone != "z2" || got.MaxInflight != 1024 {
		t.Fatalf("applied %+v after the file was replaced", got)
	}
}

// linkedFile returns a link to a file in another folder: no event of the
// link's folder tells of a change.
func linkedFile(t *testing.T) (target, link string) {
	t.Helper()
	target = settingsFile(t, goodFront)
	link = filepath.Join(t.TempDir(), "link.yaml")
	if err := os.Symlink(target, link); err != nil {
		t.Fatal(err)
	}
	return target, link
}

func TestPollNoticesWhatEventsDoNot(t *testing.T) {
	target, link := linkedFile(t)
	w := startWatcher(t, link, 10*time.Millisecond)
	writeFile(t, target, goodFront+"deadline: 9s\n")
	if got := w.next(t); got.Deadline.Std() != 9*time.Second {
		t.Fatalf("applied %+v", got)
	}
}

func TestHangupSignalAndReloadReadTheFile(t *testing.T) {
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGHUP) // keeps the test alive whoever else listens
	defer signal.Stop(ignored)
	target, link := linkedFile(t)
	w := startWatcher(t, link, time.Hour)
	writeFile(t, target, goodFront+"deadline: 8s\n")
	w.Reload()
	if got := w.next(t); got.Deadline.Std() != 8*time.Second {
		t.Fatalf("applied %+v", got)
	}
	writeFile(t, target, goodFront+"deadline: 9s\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := w.next(t); got.Deadline.Std() != 9*time.Second {
		t.Fatalf("applied %+v", got)
	}
}

func TestBrokenFileChangesNothing(t *testing.T) {
	w := startWatcher(t, settingsFile(t, goodFront), time.Hour)
	writeFile(t, w.path, goodFront+"max_inflight: none\n")
	eventually(t, "an error", func() bool { return w.LastError() != nil })
	wantError(t, w.LastError(), `max_inflight "none": expected a whole number`)
	if err := os.Remove(w.path); err != nil {
		t.Fatal(err)
	}
	eventually(t, "an error about the file", func() bool {
		err := w.LastError()
		return err != nil && strings.Contains(err.Error(), "readable")
	})
	writeFile(t, w.path, goodFront+"max_inflight: 6\n")
	if got := w.next(t); got.MaxInflight != 6 {
		t.Fatalf("applied %+v: the broken files took effect", got)
	}
	eventually(t, "no error", func() bool { return w.LastError() == nil })
}

func TestKeysThatNeedARestart(t *testing.T) {
	w := startWatcher(t, settingsFile(t, goodFront), time.Hour)
	writeFile(t, w.path, strings.Replace(goodFront, ":7200", ":7201", 1)+"log: {format: json}\nmax_inflight: 7\n")
	got := w.next(t)
	if got.MaxInflight != 7 || got.Listen != "127.0.0.1:7200" || got.Log.Format != "text" {
		t.Fatalf("applied %+v", got)
	}
	if pending := w.PendingRestart(); !slices.Equal(pending, []string{"listen", "log.format"}) {
		t.Fatalf("pending %v", pending)
	}
	writeFile(t, w.path, goodFront+"max_inflight: 7\n")
	eventually(t, "nothing pending", func() bool { return len(w.PendingRestart()) == 0 })
	if len(w.applied) != 0 {
		t.Fatal("applied again without a change")
	}
}

func TestChangeBeforeTheWatchStartsIsTaken(t *testing.T) {
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
		t.Fatalf("applied %+v, error %v", got, err)
	}
}

func TestLiveKeys(t *testing.T) {
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
			t.Errorf("live keys %v, want %v", live, test.want)
		}
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
