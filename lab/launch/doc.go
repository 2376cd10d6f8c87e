// Package launch starts child processes that end with the process that started
// them.
package launch
