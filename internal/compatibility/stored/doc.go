// Package stored guards the bytes that a scheduler keeps on disk: the commands
// of its log, the segments of its write-ahead log, its snapshots, and the
// archive of ended jobs.
//
// It has tests only. They hold what the present code reads and writes against
// the corpus in testdata, which the sources of the commit named in
// testdata/MAKER wrote:
//
//   - commands.txt: every command of the script, encoded.
//   - results.txt: what each command returned, and the events that it caused.
//   - state.snapshot, state.json: the state after the last command, as a
//     snapshot and as callers see it.
//   - voter.tar.gz: the data folder of a replica that was killed.
//   - unshortened.tar.gz: the same of a replica that took no snapshot, so that
//     its log has every command.
//   - newcomer.tar.gz: the data folder of a replica that joined by a snapshot
//     and was closed.
//   - *.loaded.txt: what a start finds in each folder.
//   - earlier: commands, snapshots and data folders that the sources of two
//     earlier commits wrote, by earlier/maker_test.go, and what the sources of
//     MAKER made of them.
//
// A difference means that the present code cannot take over from an earlier
// release, or hand back to it. "go test ./internal/compatibility/stored -update"
// writes the corpus anew; do that only when a form is added on purpose, and read
// the difference.
package stored
