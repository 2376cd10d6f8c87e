package replica

import (
	"fmt"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// apply feeds committed entries to the record and answers their proposers.
func (l *loop) apply(committed []raft.Entry) error {
	for _, entry := range committed {
		result, err := l.applyEntry(entry)
		if err != nil {
			return fmt.Errorf("apply entry %d of term %d: %w", entry.Index, entry.Term, err)
		}
		l.snapshots.recordApplied(entry)
		l.applied.advance(entry.Index)
		l.pending.complete(entry, result)
	}
	return nil
}

func (l *loop) applyEntry(entry raft.Entry) (record.Result, error) {
	switch entry.Kind {
	case raft.EntryCommand:
		return l.config.Record.Apply(entry.Index, entry.Data)
	case raft.EntryMembership:
		l.config.Record.Skip(entry.Index)
		return record.Result{}, l.logMembership(entry)
	default:
		l.config.Record.Skip(entry.Index)
		return record.Result{}, nil
	}
}

// logMembership logs who votes from now on.
func (l *loop) logMembership(entry raft.Entry) error {
	membership, err := raft.DecodeMembership(entry.Data)
	if err != nil {
		return err
	}
	l.logger.Info("membership changed",
		"index", entry.Index,
		"voters", memberNames(membership.Voters),
		"outgoing", memberNames(membership.Outgoing),
		"learners", memberNames(membership.Learners))
	return nil
}

// memberNames are "name=id" for logs.
func memberNames(members []raft.Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name + "=" + string(member.ID)
	}
	return names
}
