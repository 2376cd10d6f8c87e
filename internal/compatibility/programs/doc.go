// Package programs has only tests. They build the programs and compare their output
// and exit codes, byte by byte, with those of an earlier commit: the help of every
// command, the errors for wrong flags, arguments and settings files, and the output
// of decklever's read-only commands in each format.
//
// The files in testdata were written with the commit that testdata/MAKER names:
//
//	go test ./internal/compatibility/programs -update COMMIT
//
// The programs of the test bed and of the platform's emulator are not covered: only
// developers of this repository use them, so their output may change.
package programs
