// Package storage keeps a replica's data folder: the random replica id, the
// hard state, the log, snapshots, and the archive of ended jobs. Disk is on
// bbolt; Memory is for tests and loses whatever was not synced.
//
// Everything read back is checked against a checksum. A folder that does not
// check is refused with ErrCorrupt, never reset.
package storage
