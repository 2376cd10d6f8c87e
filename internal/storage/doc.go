// Package storage keeps a replica's data folder: the random replica id, the
// hard state, the log, snapshots, and the archive of ended jobs. Disk is on
// bbolt; Memory is for tests and loses whatever was not synced.
//
// A folder holds lock (one process at a time), log.db (replica id, hard state,
// entries, and which snapshot must be there), snapshot (replaced whole), and
// archive.db. log.db gets its name last when a folder is made, so a folder
// without it that holds anything else is damaged, not new.
//
// Everything read back is checked against a checksum. A folder that does not
// check is refused with ErrCorrupt, never reset.
package storage
