package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// rolloutBound is the time after its acknowledgement within which a configuration must
// be in force in every connected process.
const rolloutBound = 2 * time.Second

// checkRollout (P8): the version that a process has in force never decreases, and is no
// older than what was acknowledged 2 s before the process reported it. A process that
// was started has nothing in force at first, and one that was frozen or partitioned has
// yet to receive the configuration: both have 2 s from the time at which they run and
// are connected again.
func (f *facts) checkRollout() []Violation {
	type report struct {
		version  uint64
		answered monoclock.Nanos
	}
	highest := map[string]report{}
	puts := f.acceptedPuts()
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindRollout || !entry.Accepted() || entry.Rollout == nil {
			continue
		}
		for _, row := range entry.Rollout.Processes {
			previous := highest[row.Process]
			if f.startedIn(row.Process, previous.answered, entry.Answered) {
				previous = report{}
				delete(highest, row.Process)
			}
			if row.Version < previous.version && entry.Sent > previous.answered {
				text := fmt.Sprintf("has version %d in force after version %d", row.Version, previous.version)
				found = append(found, Violation{P8, row.Process, text, []monoclock.Nanos{entry.Answered, previous.answered}})
			}
			if row.Version > previous.version {
				highest[row.Process] = report{row.Version, entry.Answered}
			}
			found = append(found, f.checkInForce(entry, row, puts)...)
		}
	}
	return found
}

// checkInForce compares the version in one row with the versions that had been
// acknowledged rolloutBound before the process reported that row.
func (f *facts) checkInForce(entry calllog.Entry, row api.ProcessRollout, puts []calllog.Entry) []Violation {
	reportedAt := entry.Sent.Add(-time.Duration(row.AgeMillis) * time.Millisecond)
	for _, put := range puts {
		if put.Version > row.Version && reportedAt > max(put.Answered, f.connectedSince(row.Process, reportedAt)).Add(rolloutBound) {
			text := fmt.Sprintf("has version %d in force although version %d was acknowledged", row.Version, put.Version)
			return []Violation{{P8, row.Process, text, []monoclock.Nanos{reportedAt, put.Answered}}}
		}
	}
	return nil
}

// startedIn reports whether a process was started between two times.
func (f *facts) startedIn(process string, from, to monoclock.Nanos) bool {
	return slices.ContainsFunc(f.faultEntries, func(entry calllog.Entry) bool {
		return entry.Process == process && entry.Action == calllog.ActionStart && entry.Answered >= from && entry.Answered <= to
	})
}

// connectedSince returns the end of the last time before a moment during which the
// process did not run, was not connected with a majority of the schedulers, or no
// majority was connected. It returns the moment itself if that time still lasts, and 0
// if there was no such time.
func (f *facts) connectedSince(process string, at monoclock.Nanos) monoclock.Nanos {
	spans, known := f.disconnected[process]
	if !known {
		spans = f.spansWhere(func(n *network) bool {
			return !n.running(process) || !n.reachesMajority(process, f.input.Schedulers) || !n.majority(f.input.Schedulers)
		})
		f.disconnected[process] = spans
	}
	var since monoclock.Nanos
	for _, disconnected := range spans {
		if disconnected.from <= at {
			since = min(disconnected.to, at)
		}
	}
	return since
}

// finalRejection reports whether an order was rejected for good: if it is sent again,
// it must be rejected again.
func finalRejection(entry calllog.Entry) bool {
	return entry.Code == api.CodeLostRace || entry.Code == api.CodeInvalid || entry.Code == api.CodeConflict
}

// checkRaces (P8): of the orders on one base version one wins, an acknowledged order is
// never rejected later nor a rejected one acknowledged, and the content of a rejected
// order is never in force.
func (f *facts) checkRaces() []Violation {
	winners := map[uint64]string{}
	rejectedAt := map[string]monoclock.Nanos{}
	acceptedAt := map[string]monoclock.Nanos{}
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigPut {
			continue
		}
		at := []monoclock.Nanos{entry.Answered}
		switch {
		case entry.Accepted():
			if other, decided := winners[entry.Base]; decided && other != entry.OrderID {
				found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("won on base %d, as did order %s", entry.Base, other), at})
			}
			if previous := rejectedAt[entry.OrderID]; previous != 0 {
				found = append(found, Violation{P8, entry.OrderID, "acknowledged after it was refused", append(at, previous)})
			}
			winners[entry.Base], acceptedAt[entry.OrderID] = entry.OrderID, entry.Answered
		case finalRejection(entry):
			if previous := acceptedAt[entry.OrderID]; previous != 0 {
				found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("refused as %s after it was acknowledged", entry.Code), append(at, previous)})
			}
			rejectedAt[entry.OrderID] = entry.Answered
		}
	}
	return append(found, f.checkRejectedContents(rejectedAt)...)
}

// checkRejectedContents (P8): no read returns a content that only rejected orders had.
func (f *facts) checkRejectedContents(rejectedAt map[string]monoclock.Nanos) []Violation {
	allowed, rejected := map[string]bool{}, map[string]string{}
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigPut {
			continue
		}
		if _, isRejected := rejectedAt[entry.OrderID]; isRejected && !entry.Accepted() {
			rejected[canonical(entry.Config)] = entry.OrderID
		} else {
			allowed[canonical(entry.Config)] = true
		}
	}
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigRead || !entry.Accepted() {
			continue
		}
		content := canonical(entry.Config)
		if order, isRejected := rejected[content]; isRejected && !allowed[content] {
			found = append(found, Violation{P8, order, fmt.Sprintf("was refused, but its content is in force as version %d", entry.Version), []monoclock.Nanos{entry.Answered}})
		}
	}
	return found
}
