// Package wal is the write-ahead log of a data directory: hard state, entries
// and records of snapshots, in segments of files named log-NUMBER.wal.
//
// # Format
//
// What raft hands over at once is one Batch of records: one write and one
// fdatasync. A batch counts completely or not at all. Each record has a checksum,
// a sequence number that continues through all segments, and the newest sequence
// that was durable when it was written. So a replay distinguishes, in the newest
// segment, a write that was torn by a loss of power (truncated, and logged) from
// damage (a later record says that the invalid one was durable: rejected). Damage
// to the very last batch looks like a torn write, unless the log was closed in
// order.
//
// A segment opens with the replica id and the State up to it, and its file has
// its full length, durable before the header. The segment before it is synced
// first, so only the newest can be torn. Once a snapshot is durable, a record
// names the oldest segment that is still needed; only then are older ones
// removed. Whichever unsynced names a loss of power brings back or takes, a
// replay finds the same log.
//
// # Ownership
//
// A Log owns the segments of its directory and the file that it appends to. It
// has no lock: package storage serializes the calls. It does not know what
// entries mean, and it never repairs damage: Open rejects it with a
// datafile.CorruptError.
package wal
