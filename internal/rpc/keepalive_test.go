package rpc

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// socketOption returns the value of an option of the connection's socket.
func socketOption(t *testing.T, connection net.Conn, level, option int) int {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var optionError error
	err = raw.Control(func(descriptor uintptr) {
		value, optionError = unix.GetsockoptInt(int(descriptor), level, option)
	})
	if err != nil || optionError != nil {
		t.Fatal(err, optionError)
	}
	return value
}

func TestKeepAlive_IsSetOnBothSides(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := WithKeepAlive(plain)
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	client := NewClient(ClientConfig{})
	defer client.Close()
	dialers := map[string]func(context.Context, string, string) (net.Conn, error){"default": client.transport.DialContext, "from an address": DialFrom("127.0.0.1")}
	for name, dial := range dialers {
		dialed, err := dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for side, connection := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
			timeout := socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			idle := socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
			if timeout != int(userTimeout.Milliseconds()) || idle != int(keepAliveIdle.Seconds()) {
				t.Errorf("%s, %s: got TCP_USER_TIMEOUT %d ms and TCP_KEEPIDLE %d s, want userTimeout and keepAliveIdle", name, side, timeout, idle)
			}
			_ = connection.Close()
		}
	}
}
