package golden

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
)

// Answer writes the status, the headers and the body of an answer in one line.
func Answer(answer *httptest.ResponseRecorder) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d", answer.Code)
	for _, name := range slices.Sorted(maps.Keys(answer.Header())) {
		fmt.Fprintf(&text, " %s: %s;", name, strings.Join(answer.Header()[name], ", "))
	}
	body := strings.TrimSuffix(answer.Body.String(), "\n")
	fmt.Fprintf(&text, " %s", strings.ReplaceAll(body, "\n", " "))
	return text.String()
}
