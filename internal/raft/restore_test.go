package raft

import (
	"errors"
	"strings"
	"testing"
)

func TestNew_InvalidConfigRejected(t *testing.T) {
	cases := []struct {
		name   string
		config Config
		field  string
		text   string
	}{
		{"no id", Config{}, "ID", "ID is empty"},
		{"lease not below election timeout", Config{ID: "a", LeaseDuration: DefaultElectionTimeoutMin}, "LeaseDuration", "not less than ElectionTimeoutMin"},
		{"timeout bounds reversed", Config{ID: "a", ElectionTimeoutMin: 2 * DefaultElectionTimeoutMax}, "ElectionTimeoutMin", "more than ElectionTimeoutMax"},
		{"tick not below election timeout", Config{ID: "a", TickInterval: DefaultElectionTimeoutMin}, "TickInterval", "TickInterval"},
		{"negative append size", Config{ID: "a", MaxAppendBytes: -1}, "MaxAppendBytes", "MaxAppendBytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(c.config, initialState("a"))
			if err == nil || !strings.Contains(err.Error(), c.text) {
				t.Errorf("config %+v: got error %v, want one that contains the text of the test case", c.config, err)
			}
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Errorf("got error %v, want a ConfigError of field %s", err, c.field)
			}
		})
	}
}

func TestNew_InconsistentStateRejected(t *testing.T) {
	snapshot := SnapshotMeta{Index: 5, Term: 2, Membership: testMembership("a")}
	state := HardState{Term: 3, Commit: 5}
	cases := []struct {
		name     string
		restored RestoredState
		text     string
	}{
		{"gap after snapshot", RestoredState{Entries: []Entry{{Index: 7, Term: 3}}}, "gap after the snapshot"},
		{"gap between entries", RestoredState{Entries: []Entry{{Index: 6, Term: 3}, {Index: 8, Term: 3}}}, "follows entry 6"},
		{"entries end before the snapshot", RestoredState{Entries: []Entry{{Index: 3, Term: 2}}}, "before the snapshot"},
		{"term decreases", RestoredState{Entries: []Entry{{Index: 6, Term: 3}, {Index: 7, Term: 2}}}, "below"},
		{"term below snapshot", RestoredState{Entries: []Entry{{Index: 6, Term: 1}}}, "below the snapshot's term"},
		{"entry differs from the snapshot", RestoredState{Entries: []Entry{{Index: 5, Term: 1}}}, "the snapshot at that index has"},
		{"applied index beyond the last entry", RestoredState{Applied: 9}, "beyond the last entry"},
		{"membership differs from the newest one", RestoredState{Membership: testMembership("b")}, "differs from the newest"},
		{"membership cannot be decoded", RestoredState{Entries: []Entry{{Index: 6, Term: 3, Kind: EntryMembership, Data: []byte{0xff}}}}, "decode"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.restored.Snapshot, c.restored.HardState = snapshot, state
			if _, err := New(Config{ID: "a"}, c.restored); err == nil || !strings.Contains(err.Error(), c.text) {
				t.Errorf("got error %v, want one that contains the text of the test case", err)
			}
		})
	}
}

func TestNew_KeepsEntriesBeforeSnapshot(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, RestoredState{
		HardState: HardState{Term: 3, Commit: 6},
		Snapshot:  SnapshotMeta{Index: 5, Term: 2, Membership: testMembership("a", "b")},
		Entries:   []Entry{{Index: 3, Term: 1}, {Index: 4, Term: 2}, {Index: 5, Term: 2}, {Index: 6, Term: 3}, {Index: 7, Term: 3}},
	})
	status := node.Status()
	if status.FirstIndex != 4 || status.LastIndex != 7 || status.Applied != 5 || status.Commit != 6 {
		t.Errorf("got status %+v, want first index 4, last index 7, applied 5 and commit 6", status)
	}
	node.processReady()
	if len(node.applied) != 1 || node.applied[0].Index != 6 {
		t.Errorf("got applied entries %+v, want only index 6", node.applied)
	}
}

func TestNew_BootstrapStartsInTermOfSnapshot(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	ready := node.Ready()
	if !ready.MustSync || ready.HardState == nil || ready.HardState.Term != 1 || ready.HardState.Commit != 1 {
		t.Errorf("got ready %+v, want a sync with term 1 and commit 1", ready)
	}
}

func TestStep_MessageForOtherReplicaRejected(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	if err := node.Step(0, Message{Kind: MessageVote, From: "b", To: "former", Term: 9}); err == nil {
		t.Error("message to another replica: got no error")
	}
	if err := node.Step(0, Message{Kind: 99, From: "b", To: "a", Term: 9}); err == nil {
		t.Error("message of unknown kind: got no error")
	}
}
