// Package messages has only tests. They compare the messages between processes,
// byte by byte, with those that an earlier commit sent.
//
// Each message is filled by reflection with values derived from its keys on the
// wire. Renaming a Go field therefore changes nothing here, but a changed key, type
// or encoding order does. The files in testdata were written with the commit that
// testdata/MAKER names:
//
//	go test ./internal/compatibility/messages -update COMMIT
//
// Rewrite a file only to add a message or a field, never to make a test pass whose
// message changed: during a rolling update, processes of two versions exchange these
// messages.
package messages
