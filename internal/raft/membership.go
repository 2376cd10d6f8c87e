package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Member is one replica of a membership, with its machine and address.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint"`
	// Name is the machine's stable name. A replica that replaces a lost one on
	// the same machine has the same name and a new id.
	Name    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
}

// Membership is the cluster configuration: the replicas that vote, and the
// learners, which receive the log without a vote. While Outgoing is not empty the
// membership is joint: elections and commits need both a majority of Voters and a
// majority of Outgoing (Raft paper, 6).
type Membership struct {
	Voters   []Member `cbor:"1,keyasint"`
	Outgoing []Member `cbor:"2,keyasint,omitempty"`
	Learners []Member `cbor:"3,keyasint,omitempty"`
}

// EncodeMembership returns the CBOR encoding of a membership, which is the data of
// an EntryMembership entry.
func EncodeMembership(membership Membership) ([]byte, error) {
	data, err := cbor.Marshal(membership)
	if err != nil {
		return nil, fmt.Errorf("raft: cannot encode membership: %w", err)
	}
	return data, nil
}

// DecodeMembership decodes the data of an EntryMembership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	if err := cbor.Unmarshal(data, &membership); err != nil {
		return Membership{}, fmt.Errorf("raft: cannot decode membership: %w", err)
	}
	return membership, nil
}

// isVoter reports whether the replica is in Voters and, if the membership is
// joint, in Outgoing as well.
func (m Membership) isVoter(id ReplicaID) bool {
	return containsID(m.Voters, id) && (!m.isJoint() || containsID(m.Outgoing, id))
}

// isJoint reports whether the membership is a joint one (see Membership).
func (m Membership) isJoint() bool { return len(m.Outgoing) > 0 }

func (m Membership) isEmpty() bool {
	return len(m.Voters) == 0 && len(m.Outgoing) == 0 && len(m.Learners) == 0
}

func (m Membership) clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Outgoing: slices.Clone(m.Outgoing),
		Learners: slices.Clone(m.Learners),
	}
}

// sameReplicas reports whether both memberships have the same replica ids in each
// role. Order, names, zones and addresses may differ.
func (m Membership) sameReplicas(other Membership) bool {
	return sameIDs(m.Voters, other.Voters) && sameIDs(m.Outgoing, other.Outgoing) && sameIDs(m.Learners, other.Learners)
}

// validate checks a target membership of ChangeMembership. It returns an
// ErrInvalidMembership if there are no voters, if the membership is joint, or if
// a replica id is empty or repeated.
func (m Membership) validate() error {
	if len(m.Voters) == 0 || m.isJoint() {
		return fmt.Errorf("%w: got %d voters and %d outgoing voters, want at least 1 and 0",
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

// sameIDs reports whether a and b have the same replica ids, in any order. Neither
// may repeat an id.
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

// membershipEntry is a membership and the index of its log entry, or of the
// snapshot that contained it.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships of the log, oldest first: the one in
// force at the end of the log's compacted part, and every later one. It is never
// empty once the node is restored. A replica uses a membership as soon as its
// entry is appended, committed or not (Raft paper, 6), so truncating the log
// restores an older membership.
type membershipHistory struct {
	entries []membershipEntry
}

// newest returns the membership in force. The result shares the history's memory.
func (h *membershipHistory) newest() Membership {
	return h.entries[len(h.entries)-1].membership
}

// newestIndex returns the index of the entry or snapshot that holds the newest
// membership.
func (h *membershipHistory) newestIndex() uint64 {
	return h.entries[len(h.entries)-1].index
}

// at returns a copy of the membership that is in force in a log that ends at
// index. Before the oldest membership's index it returns the oldest one.
func (h *membershipHistory) at(index uint64) Membership {
	found := h.entries[0].membership
	for _, entry := range h.entries {
		if entry.index <= index {
			found = entry.membership
		}
	}
	return found.clone()
}

// fallbacks returns copies of the memberships to which a truncation may still
// revert: the committed one and every later one except the newest. It returns nil
// once the newest membership is committed.
func (h *membershipHistory) fallbacks(committed uint64) []Membership {
	var fallbacks []Membership
	for i, next := range h.entries[1:] {
		if next.index > committed {
			fallbacks = append(fallbacks, h.entries[i].membership.clone())
		}
	}
	return fallbacks
}

// mayVote reports whether the replica is in Voters or Outgoing of the committed
// membership or of any newer one.
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

// reset replaces the history by the membership of a snapshot.
func (h *membershipHistory) reset(snapshot SnapshotMeta) {
	h.entries = []membershipEntry{{index: snapshot.Index, membership: snapshot.Membership}}
}

func (h *membershipHistory) append(added ...membershipEntry) {
	h.entries = append(h.entries, added...)
}

// truncateFrom drops the memberships at index and later, except the oldest of the
// history, and reports whether it dropped any.
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

// compactTo drops the memberships older than the one in force at index.
func (h *membershipHistory) compactTo(index uint64) {
	first := 0
	for first+1 < len(h.entries) && h.entries[first+1].index <= index {
		first++
	}
	h.entries = slices.Delete(h.entries, 0, first)
}

// decodeMemberships decodes the EntryMembership entries among entries. It returns
// nil if there are none.
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
