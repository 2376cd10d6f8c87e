// Package wal implements the write-ahead log of a data directory. The log holds
// the hard state, the raft entries and the snapshot records, in segment files
// named log-NUMBER.wal.
//
// # Format
//
// All that raft saves at once is one Batch of records, written with one write and
// one fdatasync. A batch is replayed completely or not at all. Each record has a
// checksum, a sequence number that continues across segments, and the newest
// sequence number that was durable when the record was written. With these a
// replay distinguishes two kinds of invalid record in the newest segment. If a
// later record proves that the invalid one was durable, the log is damaged and
// rejected. Otherwise a power loss tore the write: the tail is truncated and a
// warning logged. Damage to the last batch cannot be distinguished from a torn
// write unless the log was closed cleanly.
//
// A segment begins with a header that has the replica id and the State up to that
// segment. Its file is created with its full length, which is durable before the
// header is written. The previous segment is synced first, so that only the newest
// can be torn. Once a snapshot is durable, a snapshot record names the oldest
// segment that is still needed, and only then are older segments removed. A replay
// therefore finds the same log whichever unsynced file creations and removals a
// power loss undoes.
//
// # Ownership
//
// A Log owns the segments of its directory and the open file of the newest
// segment. It has no lock: package storage serializes the calls. It does not
// interpret the data of entries, and it never repairs damage: Open returns a
// datafile.CorruptError.
package wal
