package worker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestJournal_WritesOneLinePerEvent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	journal, err := OpenJournal(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	event := Event{RunRef: ref("j/s/0", 1), WorkerID: "id", Worker: "w", Token: 7}
	journal.Start(event)
	event.Outcome = api.OutcomeSucceeded
	journal.End(event)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := make([]JournalLine, strings.Count(string(content), "\n"))
	for i, text := range slices.Collect(strings.Lines(string(content))) {
		if err := json.Unmarshal([]byte(text), &lines[i]); err != nil {
			t.Fatal(err)
		}
	}
	if len(lines) != 2 || lines[0].Event != JournalStart || lines[1].Event != JournalEnd ||
		lines[0].MonoNanos <= 0 || lines[1].MonoNanos < lines[0].MonoNanos || lines[1].Outcome != api.OutcomeSucceeded || lines[0].Task != "j/s/0" {
		t.Fatalf("journal lines: got %+v, want the start and the successful end of j/s/0 with times in order", lines)
	}
}
