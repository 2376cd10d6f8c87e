// Package settings loads each program's settings from a YAML file and flags, validates them
// before the program listens, and watches the file for changes. One line of an error lists
// every invalid key with its value and what was expected.
//
// The struct tags in types.go define the keys, their rules and their help texts, and
// defaults.go has the defaults; docs/SETTINGS.md is generated from both.
package settings
