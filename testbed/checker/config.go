package checker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// acceptedPuts returns the acknowledged configuration writes, one for each version,
// sorted by version.
func (f *facts) acceptedPuts() []calllog.Entry {
	var puts []calllog.Entry
	for _, entry := range f.input.Entries {
		if entry.Kind == calllog.KindConfigPut && entry.Accepted() {
			puts = append(puts, entry)
		}
	}
	slices.SortStableFunc(puts, func(a, b calllog.Entry) int { return cmp.Compare(a.Version, b.Version) })
	return slices.CompactFunc(puts, func(a, b calllog.Entry) bool { return a.Version == b.Version })
}

// checkConfigOrders (P8): each order id has one version and each version one order id.
// An order sent after another's acknowledgement has a higher version.
func (f *facts) checkConfigOrders() []Violation {
	versionOf := map[string]uint64{}
	orderOf := map[uint64]string{}
	var highest uint64
	var highestAt monoclock.Nanos
	var found []Violation
	for _, entry := range f.input.Entries {
		if entry.Kind != calllog.KindConfigPut || !entry.Accepted() {
			continue
		}
		at := []monoclock.Nanos{entry.Answered}
		version, resent := versionOf[entry.OrderID]
		if resent && version != entry.Version {
			found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("acknowledged as version %d and as %d", version, entry.Version), at})
		}
		if other, known := orderOf[entry.Version]; known && other != entry.OrderID {
			found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("has version %d, as has order %s", entry.Version, other), at})
		}
		if !resent && entry.Version <= highest && entry.Sent > highestAt {
			found = append(found, Violation{P8, entry.OrderID, fmt.Sprintf("acknowledged as version %d after version %d", entry.Version, highest), at})
		}
		versionOf[entry.OrderID] = entry.Version
		orderOf[entry.Version] = entry.OrderID
		if entry.Version > highest {
			highest, highestAt = entry.Version, entry.Answered
		}
	}
	return found
}

// checkConfigReads (P8): no read returns a version lower than one that was read or
// acknowledged before the read was sent, and the content in force is the one
// acknowledged with that version.
func (f *facts) checkConfigReads() []Violation {
	acknowledged := map[uint64]string{}
	for _, put := range f.acceptedPuts() {
		acknowledged[put.Version] = canonical(put.Config)
	}
	var highest uint64
	var highestAt monoclock.Nanos
	var found []Violation
	for _, entry := range f.input.Entries {
		if !entry.Accepted() || (entry.Kind != calllog.KindConfigRead && entry.Kind != calllog.KindConfigPut) {
			continue
		}
		if entry.Kind == calllog.KindConfigRead {
			found = append(found, checkRead(entry, acknowledged, highest, highestAt)...)
		}
		if entry.Version > highest {
			highest, highestAt = entry.Version, entry.Answered
		}
	}
	return found
}

func checkRead(entry calllog.Entry, acknowledged map[uint64]string, highest uint64, highestAt monoclock.Nanos) []Violation {
	var found []Violation
	subject := fmt.Sprintf("version %d", entry.Version)
	if entry.Version < highest && entry.Sent > highestAt {
		found = append(found, Violation{P8, subject, fmt.Sprintf("read after version %d", highest), []monoclock.Nanos{entry.Answered, highestAt}})
	}
	if content, known := acknowledged[entry.Version]; known && content != canonical(entry.Config) {
		found = append(found, Violation{P8, subject, "in force with a content other than the one acknowledged", []monoclock.Nanos{entry.Answered}})
	}
	return found
}

// canonical returns the JSON text by which configurations are compared, with defaults
// filled in; empty for nil.
func canonical(config *api.Config) string {
	if config == nil {
		return ""
	}
	text, err := json.Marshal(config.WithDefaults())
	if err != nil {
		return fmt.Sprintf("not encodable: %v", err)
	}
	return string(text)
}
