// Package storage manages a replica's data directory: the random replica id, the
// hard state, the log, the snapshot, and the archive of ended jobs. Disk stores
// the log with package wal and the archive in bbolt. Memory is for tests; it can
// simulate a crash that loses everything not synced.
//
// # Ownership
//
// A directory holds lock (locked by the one process that uses the directory),
// log-NUMBER.wal (the segments of the write-ahead log), snapshot (replaced
// atomically), and archive.db. Disk owns all these files; nothing else may write
// to the directory. diskLog has two mutexes; snapshotMutex is locked before mutex.
// The mutex of DiskArchive is locked last: diskLog reads the archive's newest
// transaction while it holds its own mutexes, and DiskArchive never calls diskLog.
//
// # Invariants
//
//   - When a directory is created, the log gets its final name before the archive
//     does. So a directory with a snapshot or an archive but no log is damaged, not
//     new.
//   - A new term or vote is durable before Save returns, and so is everything
//     saved with sync set.
//   - A snapshot file is durable before the log has a record of it, and that
//     record is durable before a segment is removed. So the file is never older
//     than the record. If it is newer, the record is missing and Load adds it.
//   - All jobs that a snapshot leaves out are durable in the archive before the
//     snapshot is recorded: the caller syncs the archive first.
//   - Everything read back is verified by a checksum. A damaged directory is
//     rejected with ErrCorrupt, never reset or repaired: the other replicas have
//     the data, and a replica with an empty directory joins as a new one.
//
// A directory with log.db was created by an earlier version and is rejected with
// ErrEarlierFormat.
//
// # Archive
//
// bbolt writes a transaction's pages, syncs them, and then writes and syncs one of
// two meta pages, which alternate. A power loss may tear the newest meta page; the
// older one is then still valid, and so are all its pages. Each snapshot record in
// the log names the archive's newest transaction at that time. So a start may fall
// back to the older meta page if no snapshot needs the newer one: the jobs of the
// lost transaction are put again when the log is applied. A start rejects an
// archive whose newest transaction is older than the recorded one. Each start
// syncs the archive before bbolt may overwrite pages that a transaction of a
// killed process freed.
package storage
