package rpc

import (
	"net"
	"testing"
)

func TestDialFrom_UsesGivenSourceAddress(t *testing.T) {
	if DialFrom("") != nil {
		t.Error("got a dialer for an empty address, want nil")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := DialFrom("127.9.8.7")(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String()); host != "127.9.8.7" {
		t.Errorf("got a connection from %s, want 127.9.8.7", host)
	}
}
