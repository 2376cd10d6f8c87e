// Package messages holds no code of the product: its tests compare what
// processes send each other, byte by byte, with what an earlier commit sent.
//
// Each message is filled by reflection with values that follow from the keys on
// the wire, so that a renamed Go field changes nothing here, while a changed
// key, a changed type and a changed order of encoding do. The files in testdata
// were written by the commit that testdata/MAKER names:
//
//	go test ./internal/compatibility/messages -update COMMIT
//
// A file is written anew only to add a message or a field, never to make a
// changed one pass: processes of two versions run side by side during a rolling
// change.
package messages
