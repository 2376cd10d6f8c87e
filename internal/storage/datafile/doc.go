// Package datafile has what all files of a data directory share: the file system
// interface, the checksum of stored data, and the errors for damage and for a
// full disk.
//
// FileSystem is an interface so that tests can simulate a power loss: a caller
// must not rely on any write that it has not synced.
package datafile
