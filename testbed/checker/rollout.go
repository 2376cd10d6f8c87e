package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// rolloutBound is the time after its acknowledgement within which a configuration is in
// force in every process that is connected.
const rolloutBound = 2 * time.Second

// checkRollout (P8): the version that a process has in force never goes back, and is no
// older than what was acknowledged 2 s before the process reported it. A process that
// was started has nothing in force at first, and one that was frozen or partitioned has
// yet to receive it: both have 2 s from the end of that.
func (f *facts) checkRollout() []Violation {
	type seen struct {
		version  uint64
		answered monoclock.Nanos
	}
	highest := map[string]seen{}
	puts := f.acceptedPuts()
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindRollout || !entry.Accepted() || entry.Rollout == nil {
			continue
		}
		for _, row := range entry.Rollout.Processes {
			before := highest[row.Process]
			if f.startedIn(row.Process, before.answered, entry.Answered) {
				before = seen{}
				delete(highest, row.Process)
			}
			if row.Version < before.version && entry.Sent > before.answered {
				text := fmt.Sprintf("has version %d in force after version %d", row.Version, before.version)
				found = append(found, Violation{P8, row.Process, text, []monoclock.Nanos{entry.Answered, before.answered}})
			}
			if row.Version > before.version {
				highest[row.Process] = seen{row.Version, entry.Answered}
			}
			found = append(found, f.checkInForce(entry, row, puts)...)
		}
	}
	return found
}

// checkInForce compares one row with what had been acknowledged when the process
// reported what it has in force.
func (f *facts) checkInForce(entry calllog.Entry, row api.ProcessRollout, puts []calllog.Entry) []Violation {
	saidAt := entry.Sent.Add(-time.Duration(row.AgeMillis) * time.Millisecond)
	for _, put := range puts {
		if put.Version > row.Version && saidAt > max(put.Answered, f.informedSince(row.Process, saidAt)).Add(rolloutBound) {
			text := fmt.Sprintf("has version %d in force although version %d was acknowledged", row.Version, put.Version)
			return []Violation{{P8, row.Process, text, []monoclock.Nanos{saidAt, put.Answered}}}
		}
	}
	return nil
}

// startedIn reports whether a process was started within a time.
func (f *facts) startedIn(process string, from, to monoclock.Nanos) bool {
	return slices.ContainsFunc(f.faultEntries, func(entry calllog.Entry) bool {
		return entry.Process == process && entry.Action == calllog.ActionStart && entry.Answered >= from && entry.Answered <= to
	})
}

// informedSince returns the end of the last time before a moment, or the moment itself
// within such a time, during which a process did not run or was not connected with a
// majority of the schedulers, or there was none; 0 if there was no such time.
func (f *facts) informedSince(process string, at monoclock.Nanos) monoclock.Nanos {
	spans, known := f.uninformed[process]
	if !known {
		spans = f.spansWhere(func(n *network) bool {
			return !n.running(process) || !n.reachesMajority(process, f.input.Schedulers) || !n.majority(f.input.Schedulers)
		})
		f.uninformed[process] = spans
	}
	var since monoclock.Nanos
	for _, uninformed := range spans {
		if uninformed.from <= at {
			since = min(uninformed.to, at)
		}
	}
	return since
}

// finalRejection reports whether an order was rejected for good: sent again it is
// rejected again.
func finalRejection(entry calllog.Entry) bool {
	return entry.Code == api.CodeLostRace || entry.Code == api.CodeInvalid || entry.Code == api.CodeConflict
}

// checkRaces (P8): of the orders on one base version one wins, an order is answered the
// same whenever it is sent again, and the content of one that lost is never in force.
func (f *facts) checkRaces() []Violation {
	winners := map[uint64]string{}
	refused := map[string]monoclock.Nanos{}
	accepted := map[string]monoclock.Nanos{}
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigPut {
			continue
		}
		at := []monoclock.Nanos{entry.Answered}
		switch {
		case entry.Accepted():
			if other, taken := winners[entry.Base]; taken && other != entry.OrderID {
				found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("won on base %d, as did order %s", entry.Base, other), at})
			}
			if before := refused[entry.OrderID]; before != 0 {
				found = append(found, Violation{P8, entry.OrderID, "acknowledged after it was refused", append(at, before)})
			}
			winners[entry.Base], accepted[entry.OrderID] = entry.OrderID, entry.Answered
		case finalRejection(entry):
			if before := accepted[entry.OrderID]; before != 0 {
				found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("refused as %s after it was acknowledged", entry.Code), append(at, before)})
			}
			refused[entry.OrderID] = entry.Answered
		}
	}
	return append(found, f.checkRejectedContents(refused)...)
}

// checkRejectedContents (P8): what was read is never the content of rejected orders
// alone.
func (f *facts) checkRejectedContents(refused map[string]monoclock.Nanos) []Violation {
	mayWin, lost := map[string]bool{}, map[string]string{}
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigPut {
			continue
		}
		if _, loser := refused[entry.OrderID]; loser && !entry.Accepted() {
			lost[canonical(entry.Config)] = entry.OrderID
		} else {
			mayWin[canonical(entry.Config)] = true
		}
	}
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigRead || !entry.Accepted() {
			continue
		}
		content := canonical(entry.Config)
		if order, loser := lost[content]; loser && !mayWin[content] {
			found = append(found, Violation{P8, order, fmt.Sprintf("was refused, but its content is in force as version %d", entry.Version), []monoclock.Nanos{entry.Answered}})
		}
	}
	return found
}
