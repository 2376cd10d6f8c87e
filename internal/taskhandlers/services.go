package taskhandlers

import (
	"fmt"
	"slices"
	"strings"

	"github.com/decklever/decklever/worker"
)

// Services maps service names to handlers as the settings list them: "sleep"
// offers a handler under its own name, "swap=sleep" under another.
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

func handlerNames() []string {
	var names []string
	for name := range Handlers() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
