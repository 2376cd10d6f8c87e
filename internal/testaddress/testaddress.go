// Package testaddress gives tests addresses to listen on that nothing else
// takes, also between two listens on them. A port that the system has given out
// once and that is closed again may go to anybody: to another test, or to an
// outgoing connection.
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
	// network is the second byte of the loopback addresses. Fleets of the test bed and
	// of platform/emulator have lower ones, and outgoing connections, unless bound
	// to another address, leave from 127.0.0.1.
	network = 254
	// claimPort is listened on for as long as an address is given out.
	claimPort = 7099
	// port is the one given out. Like claimPort it lies below those that the
	// system gives out by itself.
	port = 7100
	// tries bounds the search for an address that is not given out.
	tries = 1000
)

// New returns an IP:port on loopback that is given to nobody else until the test
// has ended, in this process or another. Nothing listens there.
func New(t testing.TB) string {
	t.Helper()
	for range tries {
		ip := net.IPv4(127, network, byte(rand.IntN(256)), byte(rand.IntN(256)))
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
	t.Fatalf("none of %d loopback addresses is free", tries)
	return ""
}
