// Package stored has only tests, for the bytes that a scheduler stores on disk: the
// commands of its log, the segments of its write-ahead log, its snapshots, and the
// archive of ended jobs.
//
// The tests compare what the current code reads and writes with the corpus in
// testdata, which was written with the sources of the commit in testdata/MAKER:
//
//   - commands.txt: every command of the script, encoded.
//   - results.txt: the result of each command, and the events that it caused.
//   - state.snapshot, state.json: the state after the last command, as a
//     snapshot and as callers read it.
//   - voter.tar.gz: the data folder of a replica that was killed.
//   - unshortened.tar.gz: the data folder of a killed replica that took no
//     snapshot after its first, so that its log has every command.
//   - newcomer.tar.gz: the data folder of a replica that joined from a snapshot
//     and was closed.
//   - *.loaded.txt: the state that a start loads from each folder.
//   - earlier: commands, snapshots and data folders that earlier/maker_test.go
//     wrote with the sources of two earlier commits, and the states that the
//     sources of MAKER read from them.
//
// A difference means that an upgrade from an earlier release, or a downgrade to it,
// fails. "go test ./internal/compatibility/stored -update" rewrites the corpus; do
// that only to add a stored form on purpose, and review the difference.
package stored
