// Package storage keeps a replica's data folder: the random replica id, the
// hard state, the log, snapshots, and the archive of ended jobs. Disk keeps the
// log in segments of its own and the archive in bbolt; Memory is for tests and
// loses whatever was not synced.
//
// A folder holds lock (one process at a time), log-NUMBER.wal (the write-ahead
// log), snapshot (replaced whole), and archive.db. The log gets its name last
// when a folder is made, so a folder without it that holds anything else is
// damaged, not new. A folder with log.db is of an earlier version and refused
// with ErrEarlierFormat.
//
// # Write-ahead log
//
// What raft hands over at once is one batch of records: one write and one
// fdatasync. A batch counts whole or not at all. Each record has a checksum, a
// sequence number that goes on through all segments, and the newest sequence
// that was durable when it was written. So a start tells apart, in the newest
// segment, a write that was torn by a loss of power (cut, and logged) and
// damage (a later record says that the bad one was durable: refused). Damage to
// the very last batch looks like a torn write, unless the log was closed in
// order.
//
// A segment opens with the replica id and the state up to it, and its file has
// its full length, durable before the header. The one before it is synced
// first, so only the newest can be torn. Once a snapshot is durable, a record
// names the oldest segment that is still needed; only then are older ones
// removed. Whichever unsynced names a loss of power brings back or takes, a
// start finds the same log.
//
// # Archive
//
// bbolt writes a transaction's pages, syncs them, and then writes one of two
// meta pages, in turn, and syncs that. A loss of power may tear the newest meta
// page, and the one before it still stands with all its pages. Each note of a
// snapshot in the log names the archive's newest transaction at that time. So a
// start goes back to the older meta page if no snapshot needs the newer one: the
// jobs in it are put again when the log is applied. It refuses an archive that
// ends before the transaction named. Each start syncs the archive before bbolt
// may write over pages that a transaction of a killed process freed.
//
// Everything read back is checked against a checksum. A folder that does not
// check is refused with ErrCorrupt, never reset.
package storage
