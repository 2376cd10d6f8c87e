package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout breaks a connection whose data was not acknowledged
	// for so long: the other machine has no power, or the way there is cut.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// probeIdle is the silence after which a connection is probed, and
	// probeInterval the pause between probes; after maxProbes without an answer
	// it is broken.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	maxProbes     = 2
)

// probes finds idle connections to machines that are gone.
func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: maxProbes}
}

// newDialer makes connections that notice soon when the other machine is gone.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: probes(), Control: boundUnacknowledged}
}

// Probed returns a listener whose connections notice soon when the other
// machine is gone. It is for connections of this fleet's own processes.
func Probed(listener net.Listener) net.Listener { return probedListener{listener} }

type probedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l probedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if accepted, ok := connection.(*net.TCPConn); ok && err == nil {
		probeAccepted(accepted)
	}
	return connection, err
}

// probeAccepted sets what it can: without it calls still have their deadlines.
func probeAccepted(connection *net.TCPConn) {
	_ = connection.SetKeepAliveConfig(probes())
	if raw, err := connection.SyscallConn(); err == nil {
		_ = boundUnacknowledged("", "", raw)
	}
}

// boundUnacknowledged sets TCP_USER_TIMEOUT. A system without it serves all
// the same: calls have deadlines of their own.
func boundUnacknowledged(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
}
