package rpc

import (
	"context"
	"net"
	"net/netip"
)

// DialFrom returns a dialer for ClientConfig whose connections leave from an
// IP address of this machine. It returns nil, the default dialer, if the
// address is empty or none.
func DialFrom(source string) func(ctx context.Context, network, address string) (net.Conn, error) {
	address, err := netip.ParseAddr(source)
	if err != nil {
		return nil
	}
	dialer := newDialer()
	dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	return dialer.DialContext
}
