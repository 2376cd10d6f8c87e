package testaddress

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"testing"
)

// TestNew_AddressesAreUnique: an address in use by a test is not returned again,
// although nothing listens on it.
func TestNew_AddressesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		address := New(t)
		if seen[address] {
			t.Fatalf("got address %s twice, want distinct addresses", address)
		}
		seen[address] = true
	}
}

// TestNew_OutgoingConnectionsUseOtherAddress: a test can listen on its address
// repeatedly. Between listens the address refuses connections, and connections to it
// have another local address.
func TestNew_OutgoingConnectionsUseOtherAddress(t *testing.T) {
	address := New(t)
	for range 3 {
		if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial %s without a listener: got %v, want a refused connection", address, err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		dialed, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if localHost, _, _ := net.SplitHostPort(dialed.LocalAddr().String()); localHost == hostOf(t, address) {
			t.Errorf("got local address %s of a connection, want another than the test's", localHost)
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

// TestNew_TestEndReleasesAddress: an address is claimed until its test ends.
func TestNew_TestEndReleasesAddress(t *testing.T) {
	var host string
	t.Run("claims", func(t *testing.T) {
		host = hostOf(t, New(t))
		if claim, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(claimPort))); err == nil {
			_ = claim.Close()
			t.Errorf("%s is not claimed during its test", host)
		}
	})
	claim, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(claimPort)))
	if err != nil {
		t.Fatalf("address is still claimed after its test: %v", err)
	}
	_ = claim.Close()
}
