package checker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// history is an Input in the JSON format of the corpus.
type history struct {
	Entries    []calllog.Entry  `json:"entries"`
	Events     []eventlog.Event `json:"lines"`
	Workers    []Worker         `json:"workers"`
	Schedulers []string         `json:"schedulers"`
	Config     api.Config       `json:"config"`
	Anchor     monoclock.Anchor `json:"anchor"`
	LoadFrom   monoclock.Nanos  `json:"load_from_ns"`
	LoadTo     monoclock.Nanos  `json:"load_to_ns"`
	EndedAt    monoclock.Nanos  `json:"ended_at_ns"`
}

// recordedHistory is one line of the corpus: a history and the verdict that an earlier
// version of the checker gave on it.
type recordedHistory struct {
	Name    string  `json:"name"`
	History history `json:"history"`
	Verdict Result  `json:"verdict"`
}

// readHistories reads the corpus. The checker wrote its lines before the package was
// renamed.
func readHistories(t *testing.T) []recordedHistory {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "histories.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var recorded []recordedHistory
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	for decoder.More() {
		var entry recordedHistory
		if err := decoder.Decode(&entry); err != nil {
			t.Fatalf("history %d: %v", len(recorded)+1, err)
		}
		recorded = append(recorded, entry)
	}
	return recorded
}

func TestAll_RecordedHistoryHasSameVerdict(t *testing.T) {
	recorded := readHistories(t)
	if len(recorded) == 0 {
		t.Fatal("the corpus is empty")
	}
	for _, entry := range recorded {
		t.Run(entry.Name, func(t *testing.T) {
			if difference := cmp.Diff(entry.Verdict, All(Input(entry.History))); difference != "" {
				t.Errorf("verdict differs (-want +got):\n%s", difference)
			}
		})
	}
}
