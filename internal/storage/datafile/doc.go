// Package datafile is the common ground of what a data directory holds: the file
// system that it lives on, the checksum over what is stored, and the errors for
// damage and for a full disk.
//
// FileSystem exists so that tests can lose power: a caller may rely on nothing
// that it has not synced.
package datafile
