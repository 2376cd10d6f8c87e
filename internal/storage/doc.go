// Package storage keeps a replica's data directory: the random replica id, the
// hard state, the log, the snapshot, and the archive of ended jobs. Disk keeps
// the log in package wal and the archive in bbolt; Memory is for tests and loses
// whatever was not synced.
//
// # Ownership
//
// A directory holds lock (one process at a time), log-NUMBER.wal (the write-ahead
// log), snapshot (replaced as a whole), and archive.db. Disk owns them all;
// nothing else may write there. diskLog has two mutexes, snapshotMutex locked
// before mutex. DiskArchive has one of its own, which may be locked last: diskLog
// asks it for its newest transaction, and it never calls diskLog.
//
// # Invariants
//
//   - The log gets its name last when a directory is created, so a directory
//     without it that holds anything else is damaged, not new.
//   - A vote is durable before Save returns, and so is everything with sync.
//   - A snapshot file is durable before the log has a record of it, and that
//     record before a segment is removed. So the file is never older than the
//     record, and a newer one was not recorded yet (Load completes that).
//   - All jobs that a snapshot leaves out are durable in the archive before the
//     snapshot is recorded: the caller syncs the archive first.
//   - Everything read back is verified by a checksum. A directory that is damaged
//     is rejected with ErrCorrupt, never reset or repaired: what one replica lost
//     the others have, and an empty directory joins as a new replica.
//
// A directory with log.db is of an earlier version and rejected with
// ErrEarlierFormat.
//
// # Archive
//
// bbolt writes a transaction's pages, syncs them, and then writes one of two
// meta pages, in turn, and syncs that. A loss of power may tear the newest meta
// page, and the one before it is still valid with all its pages. Each record of a
// snapshot in the log names the archive's newest transaction at that time. So a
// start returns to the older meta page if no snapshot needs the newer one: the
// jobs in it are put again when the log is applied. It rejects an archive that
// ends before the transaction named. Each start syncs the archive before bbolt
// may overwrite pages that a transaction of a killed process freed.
package storage
