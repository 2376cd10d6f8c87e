// Package reconfig decides how a leader changes the membership of the replicated log:
// which replica becomes a learner, which learner gets a voter slot, and which learner takes
// the slot of a voter that is unresponsive or retires. Voters are spread over zones so
// that, where possible, the loss of any one zone leaves a majority.
//
// All functions are pure: the status of the leader's raft node and the time are arguments.
// The caller proposes the membership change of a step, and asks for the next step until the
// newcomer votes or stands by. Package raft makes each change safe; this package only
// chooses the change.
package reconfig
