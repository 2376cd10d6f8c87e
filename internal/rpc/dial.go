package rpc

import (
	"context"
	"net"
	"net/netip"
)

// DialFrom returns a dialer for ClientConfig whose connections have an IP address of this
// machine as their source. It returns nil, which means the default dialer, if the address
// is empty or not valid.
func DialFrom(source string) func(ctx context.Context, network, address string) (net.Conn, error) {
	address, err := netip.ParseAddr(source)
	if err != nil {
		return nil
	}
	dialer := newDialer()
	dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	return dialer.DialContext
}
