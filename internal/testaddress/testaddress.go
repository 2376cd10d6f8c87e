// Package testaddress provides tests with loopback addresses that nothing else
// uses, even while no listener is open on them. A port assigned by the system is
// unsuitable: after its listener closes, the system may assign the port to another
// test or to an outgoing connection.
package testaddress

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
)

const (
	// secondOctet is the second byte of the loopback addresses. Fleets of the test
	// bed and of platform/emulator use lower values, and outgoing connections use
	// 127.0.0.1 unless bound to another address.
	secondOctet = 254
	// claimPort of an address has a listener while the address is in use by a test.
	claimPort = 7099
	// port is the port of the returned addresses. Like claimPort it is below the
	// range from which the system assigns ports.
	port = 7100
	// maxAttempts bounds the search for a free address.
	maxAttempts = 1000
)

// New returns a loopback IP:port that no other call of New returns, in this process
// or another, until the test has ended. Nothing listens on it.
func New(t testing.TB) string {
	t.Helper()
	for range maxAttempts {
		ip := net.IPv4(127, secondOctet, byte(rand.IntN(256)), byte(rand.IntN(256)))
		claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, claimPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatalf("claim a loopback address: %v", err)
		}
		t.Cleanup(func() { _ = claim.Close() })
		return fmt.Sprintf("%s:%d", ip, port)
	}
	t.Fatalf("no free loopback address found in %d attempts", maxAttempts)
	return ""
}
