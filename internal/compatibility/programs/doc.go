// Package programs holds no code of the product: its tests build the programs
// and compare what they print and how they exit, word for word, with what an
// earlier commit printed: the help of every command, refusals of wrong flags,
// arguments and settings files, and the output of the command line's reading
// commands in each form.
//
// The files in testdata were written by the commit that testdata/MAKER names:
//
//	go test ./internal/compatibility/programs -update COMMIT
//
// The programs of the test bed and of the platform's emulator are left out:
// they are for developers of this repository, who may change them.
package programs
