// Package leaderclient keeps a process that is no scheduler (a front, an agent)
// in touch with the leader: one held watch call at a time tells it the
// leader's address, the highest token and the configuration in force, and
// confirms to the leader which configuration is in force here.
//
// Tokens and configuration versions only grow. A process without an answer
// for longer than the hold that the last answer granted, counted from when
// that watch was sent, is no longer fresh and should stop serving.
package leaderclient
