package testaddress

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"testing"
)

// TestAddressIsGivenOutOnce: as long as a test holds an address, no other gets
// it, although nothing listens there.
func TestAddressIsGivenOutOnce(t *testing.T) {
	given := make(map[string]bool)
	for range 500 {
		address := New(t)
		if given[address] {
			t.Fatalf("%s was given out twice", address)
		}
		given[address] = true
	}
}

// TestOutgoingConnectionsLeaveItAlone: it can be listened on again and again,
// and refuses connections in between.
func TestOutgoingConnectionsLeaveItAlone(t *testing.T) {
	address := New(t)
	for range 3 {
		if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("a connection to %s ended with %v, want that it is refused", address, err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		dialed, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if from, _, _ := net.SplitHostPort(dialed.LocalAddr().String()); from == hostOf(t, address) {
			t.Errorf("a connection leaves from %s, which is the test's own", from)
		}
		_ = dialed.Close()
		_ = listener.Close()
	}
}

func hostOf(t *testing.T, address string) string {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return host
}

// TestEndOfATestFreesItsAddress: claims end with their test.
func TestEndOfATestFreesItsAddress(t *testing.T) {
	var held string
	t.Run("holds", func(t *testing.T) {
		held = hostOf(t, New(t))
		if claim, err := net.Listen("tcp", net.JoinHostPort(held, strconv.Itoa(claimPort))); err == nil {
			_ = claim.Close()
			t.Errorf("%s is not claimed", held)
		}
	})
	claim, err := net.Listen("tcp", net.JoinHostPort(held, strconv.Itoa(claimPort)))
	if err != nil {
		t.Fatalf("still claimed: %v", err)
	}
	_ = claim.Close()
}
