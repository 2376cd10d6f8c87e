// Package settings reads each program's YAML file and flags, checks them
// before anything listens, and watches the file for changes. Every wrong key
// is reported on one line with its value and what was expected.
package settings
