package testnetwork

import (
	"errors"
	"net"
	"testing"
)

// TestNetwork_DialNeedsListener: a connection reaches the listener at its address, and
// fails before the listener exists and after it is closed.
func TestNetwork_DialNeedsListener(t *testing.T) {
	network := New()
	requireRefused := func(when string) {
		if _, err := network.DialContext(t.Context(), "tcp", "there"); err == nil {
			t.Fatalf("dial succeeded %s, want an error", when)
		}
	}
	requireRefused("before the listen")
	listener := network.Listen(t, "there")
	network.Listen(t, "elsewhere")
	go func() {
		clientEnd, err := network.DialContext(t.Context(), "tcp", "there")
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = clientEnd.Write([]byte("x"))
	}()
	serverEnd, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if read, err := serverEnd.Read(make([]byte, 2)); read != 1 || err != nil {
		t.Fatalf("got %d bytes, error %v, want 1 byte", read, err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after the close: got %v, want net.ErrClosed", err)
	}
	requireRefused("after the close")
}
