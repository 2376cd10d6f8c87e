package replica

import (
	"fmt"
	"log/slog"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// applyEntry applies a committed entry to the record, or makes the record skip an entry
// without a command: the record must see every index once and in order.
func applyEntry(machine *record.Machine, logger *slog.Logger, entry raft.Entry) (record.Result, error) {
	switch entry.Kind {
	case raft.EntryCommand:
		return machine.Apply(entry.Index, entry.Data)
	case raft.EntryMembership:
		machine.Skip(entry.Index)
		return record.Result{}, logMembership(logger, entry)
	default:
		machine.Skip(entry.Index)
		return record.Result{}, nil
	}
}

// logMembership logs the membership that takes effect with the entry.
func logMembership(logger *slog.Logger, entry raft.Entry) error {
	membership, err := raft.DecodeMembership(entry.Data)
	if err != nil {
		return fmt.Errorf("decode membership: %w", err)
	}
	logger.Info("membership changed",
		"index", entry.Index,
		"voters", memberNames(membership.Voters),
		"outgoing", memberNames(membership.Outgoing),
		"learners", memberNames(membership.Learners))
	return nil
}
