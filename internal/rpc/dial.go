package rpc

import (
	"context"
	"net"
	"net/netip"
)

// DialFrom returns a function for ClientConfig.Dialer that opens connections from the given
// source IP address of this machine. If the address is empty or invalid, it returns nil,
// which selects the default dialer.
func DialFrom(source string) func(ctx context.Context, network, address string) (net.Conn, error) {
	address, err := netip.ParseAddr(source)
	if err != nil {
		return nil
	}
	dialer := newDialer()
	dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	return dialer.DialContext
}
