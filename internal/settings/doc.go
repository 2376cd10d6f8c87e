// Package settings reads each program's YAML file and flags, checks them
// before anything listens, and watches the file for changes. Every wrong key
// is reported on one line with its value and what was expected.
//
// The keys, their rules and their help are the struct tags in types.go, and the
// defaults are in defaults.go; docs/SETTINGS.md is made from both.
package settings
