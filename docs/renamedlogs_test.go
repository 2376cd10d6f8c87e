package docs_test

import (
	"regexp"
	"strings"
	"testing"
)

// renamedRow matches a row of the table "Renamed messages" of docs/LOGS.md.
var renamedRow = regexp.MustCompile("(?m)^\\| `([^`]+)`[^|]*\\| `([^`]+)`[^|]*\\|$")

// earlierMessagesFile lists the log messages of the commit that testdata/MAKER
// names, a line each.
const earlierMessagesFile = "testdata/messages.txt"

// TestRenamedMessages_AreListed: who searches logs by a message of an earlier
// version finds the one of today.
func TestRenamedMessages_AreListed(t *testing.T) {
	_, table, found := strings.Cut(read(t, "LOGS.md"), "\n## Renamed messages\n")
	if !found {
		t.Fatal("LOGS.md has no section on renamed messages")
	}
	logged := loggedMessages(t)
	renamed := map[string]string{}
	for _, row := range renamedRow.FindAllStringSubmatch(table, -1) {
		earlier, today := row[1], row[2]
		if renamed[earlier] != "" {
			t.Errorf("LOGS.md renames %q twice", earlier)
		}
		renamed[earlier] = today
		if logged[today] == "" {
			t.Errorf("LOGS.md renames %q to %q, which nothing logs", earlier, today)
		}
	}
	for message := range strings.Lines(read(t, earlierMessagesFile)) {
		message = strings.TrimSpace(message)
		if logged[message] == "" && renamed[message] == "" {
			t.Errorf("%q was logged earlier; LOGS.md does not say what it is called now", message)
		}
	}
}
