// Package process makes a whole process of a daemon's parts. It takes the
// settings that were loaded, and gives the logger, health, metrics and watch of
// the settings (Base), the link to the leader of those that keep no record
// (Linked), and the configuration to run it all with package daemon.
//
// The packages below it are the daemons of the product; other programs may
// embed them and add listeners of their own.
package process
