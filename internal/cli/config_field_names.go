package cli

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
)

// queueField matches the path of a field of a queue or of one of its
// bookings.
var queueField = regexp.MustCompile(`^queues\[(\d+)\](?:\.bookings\[(\d+)\])?`)

// configRejectedError is the error of a request that carries a configuration.
// To the index of a queue or booking in a field's path it adds the name,
// which is what the file shows.
func configRejectedError(action string, cause error, config *api.Config) *exitError {
	exitErr := requestError(action, cause)
	named := make([]api.FieldError, len(exitErr.fields))
	for index, field := range exitErr.fields {
		if name := fieldOwner(field.Field, config); name != "" {
			field.Field = fmt.Sprintf("%s (%s)", field.Field, name)
		}
		named[index] = field
	}
	exitErr.fields = named
	return exitErr
}

// fieldOwner names the queue or booking that a field belongs to. It is empty
// if there is none or if the field is the name itself.
func fieldOwner(path string, config *api.Config) string {
	match := queueField.FindStringSubmatch(path)
	if match == nil || strings.HasSuffix(path, ".name") {
		return ""
	}
	number, err := strconv.Atoi(match[1])
	if err != nil || number >= len(config.Queues) {
		return ""
	}
	queue := config.Queues[number]
	if match[2] == "" {
		return "queue " + queue.Name
	}
	number, err = strconv.Atoi(match[2])
	if err != nil || number >= len(queue.Bookings) {
		return ""
	}
	return "booking " + bookingName{queue: queue.Name, name: queue.Bookings[number].Name}.String()
}
