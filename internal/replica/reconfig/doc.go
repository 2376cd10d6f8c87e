// Package reconfig decides how a leader changes the membership of the replicated log:
// which replica becomes a learner, which learner gets a voter slot, and who takes the slot
// of a voter that is gone or retires. Voters are spread over zones so that, where that can
// be had, the loss of any one zone leaves a majority.
//
// All of it is pure: the status of the leader's raft node and the time are arguments. The
// caller proposes the change of a step, and calls again until the newcomer votes or stands
// by. Package raft makes each change safe; this package only chooses it.
package reconfig
