package taskhandlers

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/decklever/decklever/worker"
)

// Services returns the handlers by service name. Entries are as in the settings: "sleep"
// offers a handler under its own name, "swap=sleep" under another one. Services returns an
// error for an unknown handler, an empty service name, or a service that is listed twice.
func Services(entries []string) (map[string]worker.Handler, error) {
	handlers := Handlers()
	services := make(map[string]worker.Handler, len(entries))
	for _, entry := range entries {
		service, name, aliased := strings.Cut(entry, "=")
		if !aliased {
			name = service
		}
		handler, known := handlers[name]
		if !known || service == "" {
			return nil, fmt.Errorf("services has %q, expected HANDLER or SERVICE=HANDLER with a handler of %s", entry, strings.Join(handlerNames(), ", "))
		}
		if _, taken := services[service]; taken {
			return nil, fmt.Errorf("services has %q, expected each service once", entry)
		}
		services[service] = handler
	}
	return services, nil
}

// handlerNames returns the sorted names of all handlers.
func handlerNames() []string {
	return slices.Sorted(maps.Keys(Handlers()))
}
