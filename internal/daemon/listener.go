package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Listener is an address that a daemon serves beside Config.Listen.
type Listener struct {
	// Address is the IP:port to listen on. Required.
	Address string
	// Handler serves all requests to the address. Required.
	Handler http.Handler
	// OnListening is called with the bound address once the daemon listens. Optional.
	OnListening func(address net.Addr)
}

// openListener is a Listener with its open socket.
type openListener struct {
	Listener
	listener net.Listener
}

// listenOnAll listens on Listen and on the addresses of ExtraListeners, in this order. If one
// fails, it closes those already open and returns the error.
func listenOnAll(ctx context.Context, config Config) ([]openListener, error) {
	own := Listener{Address: config.Listen, Handler: config.Handler, OnListening: config.OnListening}
	var open []openListener
	for _, each := range append([]Listener{own}, config.ExtraListeners...) {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", each.Address)
		if err != nil {
			for _, earlier := range open {
				_ = earlier.listener.Close() // no connection was accepted on it
			}
			return nil, fmt.Errorf("listen on %s: %w", each.Address, err)
		}
		if config.WrapListener != nil && len(open) == 0 {
			listener = config.WrapListener(listener)
		}
		open = append(open, openListener{Listener: each, listener: listener})
	}
	return open, nil
}
