package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Member is one replica of a membership and where it runs.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint"`
	// Name is the machine's stable name: a replacement has the same name and
	// another ID.
	Name    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
}

// Membership says which replicas vote and which only learn the log. While
// Outgoing is not empty the change is joint: every decision needs a majority of
// Voters and one of Outgoing (Raft paper, 6).
type Membership struct {
	Voters   []Member `cbor:"1,keyasint"`
	Outgoing []Member `cbor:"2,keyasint,omitempty"`
	Learners []Member `cbor:"3,keyasint,omitempty"`
}

// EncodeMembership returns the data of an EntryMembership: CBOR.
func EncodeMembership(membership Membership) ([]byte, error) {
	data, err := cbor.Marshal(membership)
	if err != nil {
		return nil, fmt.Errorf("raft: cannot encode membership: %w", err)
	}
	return data, nil
}

// DecodeMembership reads the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	if err := cbor.Unmarshal(data, &membership); err != nil {
		return Membership{}, fmt.Errorf("raft: cannot decode membership: %w", err)
	}
	return membership, nil
}

// isVoter reports whether a replica votes in each half of the membership.
func (m Membership) isVoter(id ReplicaID) bool {
	return containsID(m.Voters, id) && (!m.joint() || containsID(m.Outgoing, id))
}

func (m Membership) joint() bool { return len(m.Outgoing) > 0 }

func (m Membership) empty() bool {
	return len(m.Voters) == 0 && len(m.Outgoing) == 0 && len(m.Learners) == 0
}

func (m Membership) clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Outgoing: slices.Clone(m.Outgoing),
		Learners: slices.Clone(m.Learners),
	}
}

// sameReplicas compares the ids, in any order; names and addresses may differ.
func (m Membership) sameReplicas(other Membership) bool {
	return sameIDs(m.Voters, other.Voters) && sameIDs(m.Outgoing, other.Outgoing) && sameIDs(m.Learners, other.Learners)
}

// validate checks a target of ChangeMembership. It fails with
// ErrInvalidMembership.
func (m Membership) validate() error {
	if len(m.Voters) == 0 || m.joint() {
		return fmt.Errorf("%w: it has %d voters and %d outgoing ones, expected at least 1 and 0",
			ErrInvalidMembership, len(m.Voters), len(m.Outgoing))
	}
	seen := make(map[ReplicaID]bool, len(m.Voters)+len(m.Learners))
	for _, member := range slices.Concat(m.Voters, m.Learners) {
		if member.ID == "" || seen[member.ID] {
			return fmt.Errorf("%w: replica id %q is empty or repeated", ErrInvalidMembership, member.ID)
		}
		seen[member.ID] = true
	}
	return nil
}

func containsID(members []Member, id ReplicaID) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}

func sameIDs(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !containsID(b, member.ID) {
			return false
		}
	}
	return true
}

// membershipEntry is a membership and the index of the entry that brought it.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships that the log contains, oldest first:
// the newest one at or before the log's compacted part, and every later one. It
// is never empty. A membership is in force from when its entry is appended,
// committed or not (Raft paper, 6), so a truncation brings an older one back.
type membershipHistory struct {
	entries []membershipEntry
}

// newest returns the membership in force.
func (h *membershipHistory) newest() Membership {
	return h.entries[len(h.entries)-1].membership
}

// newestIndex returns the index of the entry that brought it.
func (h *membershipHistory) newestIndex() uint64 {
	return h.entries[len(h.entries)-1].index
}

// at returns a copy of the membership in force when index was the last entry.
func (h *membershipHistory) at(index uint64) Membership {
	found := h.entries[0].membership
	for _, entry := range h.entries {
		if entry.index <= index {
			found = entry.membership
		}
	}
	return found.clone()
}

// fallbacks returns those from the committed one on, without the newest; nil
// once the newest is committed.
func (h *membershipHistory) fallbacks(committed uint64) []Membership {
	var fallbacks []Membership
	for i, next := range h.entries[1:] {
		if next.index > committed {
			fallbacks = append(fallbacks, h.entries[i].membership.clone())
		}
	}
	return fallbacks
}

// mayVote reports whether a replica is a voter in the committed membership or a
// newer one.
func (h *membershipHistory) mayVote(id ReplicaID, committed uint64) bool {
	for i := len(h.entries) - 1; i >= 0; i-- {
		entry := h.entries[i]
		if containsID(entry.membership.Voters, id) || containsID(entry.membership.Outgoing, id) {
			return true
		}
		if entry.index <= committed {
			return false
		}
	}
	return false
}

// reset leaves the membership of a snapshot alone.
func (h *membershipHistory) reset(snapshot SnapshotMeta) {
	h.entries = []membershipEntry{{index: snapshot.Index, membership: snapshot.Membership}}
}

func (h *membershipHistory) append(added ...membershipEntry) {
	h.entries = append(h.entries, added...)
}

// truncateFrom drops those whose entries are truncated from index on, and
// reports whether there were any.
func (h *membershipHistory) truncateFrom(index uint64) bool {
	kept := len(h.entries)
	for kept > 1 && h.entries[kept-1].index >= index {
		kept--
	}
	if kept == len(h.entries) {
		return false
	}
	h.entries = h.entries[:kept]
	return true
}

// compactTo drops those before the one in force at index.
func (h *membershipHistory) compactTo(index uint64) {
	first := 0
	for first+1 < len(h.entries) && h.entries[first+1].index <= index {
		first++
	}
	h.entries = slices.Delete(h.entries, 0, first)
}

// decodeMemberships finds and decodes the memberships among entries.
func decodeMemberships(entries []Entry) ([]membershipEntry, error) {
	var decoded []membershipEntry
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return nil, fmt.Errorf("raft: entry %d: %w", entry.Index, err)
		}
		decoded = append(decoded, membershipEntry{index: entry.Index, membership: membership})
	}
	return decoded, nil
}
