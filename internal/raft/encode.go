package raft

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

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
