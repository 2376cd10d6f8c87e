package testnetwork

import (
	"errors"
	"net"
	"testing"
)

// TestOnlyAListenerIsReached: connections end where their address is listened
// on, and nowhere before and after.
func TestOnlyAListenerIsReached(t *testing.T) {
	network := New()
	refused := func(when string) {
		if _, err := network.DialContext(t.Context(), "tcp", "there"); err == nil {
			t.Fatalf("connected %s", when)
		}
	}
	refused("before anybody listens")
	listener := network.Listen(t, "there")
	network.Listen(t, "elsewhere")
	go func() {
		near, err := network.DialContext(t.Context(), "tcp", "there")
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = near.Write([]byte("x"))
	}()
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if read, err := far.Read(make([]byte, 2)); read != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", read, err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepted after the close: %v", err)
	}
	refused("after the close")
}
