package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Listener is an address that a daemon serves beside its own.
type Listener struct {
	// Address is the IP:port to listen on. Required.
	Address string
	// Handler serves all requests that come there. Required.
	Handler http.Handler
	// Listening is told the address once it is listened on. Optional.
	Listening func(address net.Addr)
}

// openListener is a Listener that is listened on.
type openListener struct {
	Listener
	listener net.Listener
}

// listenOnAll listens on Listen and on the addresses of Extra, or on none.
func listenOnAll(ctx context.Context, config Config) ([]openListener, error) {
	own := Listener{Address: config.Listen, Handler: config.Handler, Listening: config.Listening}
	var open []openListener
	for _, each := range append([]Listener{own}, config.Extra...) {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", each.Address)
		if err != nil {
			for _, earlier := range open {
				_ = earlier.listener.Close() // nothing came in on it
			}
			return nil, fmt.Errorf("listen on %s: %w", each.Address, err)
		}
		if config.Wrap != nil && len(open) == 0 {
			listener = config.Wrap(listener)
		}
		open = append(open, openListener{Listener: each, listener: listener})
	}
	return open, nil
}
