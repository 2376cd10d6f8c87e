package calllog

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

func TestLog_PreservesOrderInMemoryAndFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger.jsonl")
	log, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	log.Add(Entry{Kind: KindSubmit, JobID: "a"})
	log.Add(Entry{Kind: KindPoll, JobID: "b"})
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	entries := log.Entries()
	if len(entries) != 2 || entries[0].JobID != "a" || entries[1].JobID != "b" {
		t.Fatalf("got entries %+v, want those of jobs a and b in this order", entries)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if lines := bytes.Count(data, []byte("\n")); lines != 2 {
		t.Fatalf("got %d lines in the file, want 2", lines)
	}
}
