package schedulerprocess

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/storage"
	"github.com/decklever/decklever/internal/testaddress"
)

// waitTimeout bounds each wait for a condition. It is far longer than any wait should take.
const waitTimeout = 60 * time.Second

// schedulerSettings returns the settings of a single scheduler whose data folder is
// directory. The stop timeout is 1 min because a stop waits for the disk sync in progress,
// which may take seconds on a busy disk; no test here checks the duration of a stop.
func schedulerSettings(t *testing.T, directory string) settings.Scheduler {
	t.Helper()
	address := testaddress.New(t)
	content := "name: control-1\nzone: z1\nlisten: " + address + "\nseeds: [" + address + "]\n" +
		"data_dir: " + directory + "\nsnapshot_every: 5\nlog: {level: error}\nstop_timeout: 1m\n"
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.Load[settings.Scheduler](settings.LoadOptions{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// runScheduler runs a scheduler as its main function does, until ctx ends.
func runScheduler(ctx context.Context, t *testing.T, initial settings.Scheduler) (code int, stderr string, err error) {
	t.Helper()
	command := &cobra.Command{Use: Program, RunE: func(command *cobra.Command, _ []string) error {
		var p *Process
		if p, err = New(initial, settings.LoadOptions{}); err == nil {
			err = p.Run(command.Context())
		}
		return err
	}}
	command.SetArgs([]string{})
	var output bytes.Buffer
	code = daemon.Execute(ctx, command, &output)
	return code, output.String(), err
}

// createDataDirectory runs a scheduler until its data folder contains a log and the first
// snapshot.
func createDataDirectory(t *testing.T, directory string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ready := make(chan error, 1)
	go func() {
		defer cancel()
		ready <- waitForSnapshot(ctx, directory)
	}()
	if code, stderr, err := runScheduler(ctx, t, schedulerSettings(t, directory)); code != daemon.ExitOK {
		t.Fatalf("got exit code %d, stderr %q, error %v, want exit code 0", code, stderr, err)
	}
	if err := <-ready; err != nil {
		t.Fatal(err)
	}
}

func waitForSnapshot(ctx context.Context, directory string) error {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if _, err := os.Stat(filepath.Join(directory, "snapshot")); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return errors.New("wait for the first snapshot: timed out")
}

// logSegment is the name of the first log segment, the only one of a short log.
const logSegment = "log-0000000000000001.wal"

// TestStart_DamagedFileFails checks that a scheduler does not start on a damaged log,
// snapshot or archive: it ends with exit code 1 and one line that names the file, and does
// not change the file.
func TestStart_DamagedFileFails(t *testing.T) {
	intact := t.TempDir()
	createDataDirectory(t, intact)
	flipAt := func(at func(size int) int) func([]byte) []byte {
		return func(content []byte) []byte {
			content[at(len(content))] ^= 0x10
			return content
		}
	}
	// The last record is that of an orderly close, which has no payload; the byte flipped
	// is in the record before it.
	flipLastRecord := func(content []byte) []byte {
		const closeRecordSize = 26
		content[len(bytes.TrimRight(content, "\x00"))-closeRecordSize-2] ^= 0x10
		return content
	}
	truncateHalf := func(content []byte) []byte { return content[:len(content)/2] }
	empty := func([]byte) []byte { return []byte{} }
	for name, test := range map[string]struct {
		file   string
		damage func([]byte) []byte
	}{
		"log cut":                   {logSegment, truncateHalf},
		"log cut a byte":            {logSegment, func(content []byte) []byte { return content[:len(content)-1] }},
		"log empty":                 {logSegment, empty},
		"log's header flipped":      {logSegment, flipAt(func(int) int { return 20 })},
		"log's record flipped":      {logSegment, flipLastRecord},
		"snapshot cut":              {"snapshot", truncateHalf},
		"snapshot empty":            {"snapshot", empty},
		"snapshot's header flipped": {"snapshot", flipAt(func(int) int { return 10 })},
		"snapshot's data flipped":   {"snapshot", flipAt(func(size int) int { return size - 20 })},
		"archive cut":               {"archive.db", truncateHalf},
		"archive empty":             {"archive.db", empty},
		"archive's header flipped":  {"archive.db", flipAt(func(int) int { return 20 })},
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			if err := os.CopyFS(directory, os.DirFS(intact)); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(directory, test.file)
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			damaged := test.damage(content)
			if err := os.WriteFile(path, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			wantStartFails(t, directory, path)
			if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, damaged) {
				t.Errorf("the start changed the damaged file or it cannot be read, error %v", err)
			}
		})
	}
}

// TestStart_MissingFileFails checks that a data folder without one of its files is treated
// as damaged, not as a new one.
func TestStart_MissingFileFails(t *testing.T) {
	intact := t.TempDir()
	createDataDirectory(t, intact)
	for _, file := range []string{logSegment, "snapshot", "archive.db"} {
		t.Run(file, func(t *testing.T) {
			directory := t.TempDir()
			if err := os.CopyFS(directory, os.DirFS(intact)); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(directory, file)
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			wantStartFails(t, directory, path)
		})
	}
}

// wantStartFails checks that a start on the directory fails with daemon.ExitFailure and one
// line on stderr that names the file at path.
func wantStartFails(t *testing.T, directory, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	code, stderr, err := runScheduler(ctx, t, schedulerSettings(t, directory))
	if !errors.Is(err, storage.ErrCorrupt) || code != daemon.ExitFailure {
		t.Fatalf("got exit code %d and error %v, want %d and %v", code, err, daemon.ExitFailure, storage.ErrCorrupt)
	}
	if strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, path) {
		t.Errorf("got stderr %q, want one line that names %s", stderr, path)
	}
}
