package docs_test

import (
	"regexp"
	"strings"
	"testing"
)

const onCallPage = "operating/on-call.md"

var (
	metricName = regexp.MustCompile(`\bdecklever_[a-z0-9_]+`)
	quoted     = regexp.MustCompile("`([^`]+)`")
	// loggedText is the message of a line of a log that the page shows.
	loggedText = regexp.MustCompile(`\bmsg=(?:"([^"]+)"|([^ ]+))`)
	// commandWords are the words of a decklever command, up to its first argument.
	commandWords = regexp.MustCompile(`(?m)^ *decklever(?: --[a-z]+ [^ ]+)? ([a-z]+(?: [a-z]+)?)`)
	// shellBlock is the block of commands to begin with; those of a list are indented.
	shellBlock = regexp.MustCompile("(?s)  ```sh\n(.*?)```")
)

// onCallParts are the parts of each alert's section, in their order.
var onCallParts = []string{"- Symptom", "- Logs", "- Architecture", "- Commands", "- Next"}

func TestOnCallPage_NamesMetricsThatExist(t *testing.T) {
	listed := map[string]bool{}
	for _, row := range metricRow.FindAllStringSubmatch(read(t, "METRICS.md"), -1) {
		listed[row[1]] = true
	}
	names := metricName.FindAllString(read(t, onCallPage), -1)
	if len(names) == 0 {
		t.Fatal("the page names no metric; the pattern is wrong")
	}
	for _, name := range names {
		if !listed[name] {
			t.Errorf("%s names %s, which METRICS.md does not list", onCallPage, name)
		}
	}
}

func TestOnCallPage_QuotesMessagesThatExist(t *testing.T) {
	listed := map[string]bool{}
	for _, row := range logRow.FindAllStringSubmatch(read(t, "LOGS.md"), -1) {
		listed[row[2]] = true
	}
	page := read(t, onCallPage)
	for title, section := range onCallSections(t) {
		logs := onCallPart(section, "- Logs")
		messages := quoted.FindAllStringSubmatch(logs, -1)
		if len(messages) == 0 {
			t.Errorf("%s: section %q names no log message", onCallPage, title)
		}
		for _, message := range messages {
			text := strings.Join(strings.Fields(message[1]), " ")
			if !listed[text] {
				t.Errorf("%s: section %q names the message %q, which LOGS.md does not list", onCallPage, title, text)
			}
		}
	}
	for _, line := range loggedText.FindAllStringSubmatch(page, -1) {
		if message := line[1] + line[2]; !listed[message] {
			t.Errorf("%s shows a line with the message %q, which LOGS.md does not list", onCallPage, message)
		}
	}
}

// TestOnCallPage_SectionsAreWhole: each alert has every part, a link to the
// architecture, and three commands, which docs/CLI.md lists if they are decklever's.
func TestOnCallPage_SectionsAreWhole(t *testing.T) {
	commandLine := read(t, "CLI.md")
	for title, section := range onCallSections(t) {
		at := 0
		for _, part := range onCallParts {
			found := strings.Index(section[at:], "\n"+part)
			if found < 0 {
				t.Errorf("%s: section %q has no part %q after those before it", onCallPage, title, part)
				break
			}
			at += found
		}
		if !strings.Contains(onCallPart(section, "- Architecture"), "](../ARCHITECTURE.md#") {
			t.Errorf("%s: section %q does not link to a heading of ARCHITECTURE.md", onCallPage, title)
		}
		block := shellBlock.FindStringSubmatch(section)
		if block == nil {
			t.Errorf("%s: section %q has no commands", onCallPage, title)
			continue
		}
		if count := strings.Count(block[1], "\n"); count != 3 {
			t.Errorf("%s: section %q has %d commands, expected 3", onCallPage, title, count)
		}
		for _, command := range commandWords.FindAllStringSubmatch(block[1], -1) {
			if !strings.Contains(commandLine, "$ decklever "+command[1]) {
				t.Errorf("%s: section %q has decklever %s, which CLI.md does not show", onCallPage, title, command[1])
			}
		}
	}
}

// onCallSections returns the page's sections of alerts by their title.
func onCallSections(t *testing.T) map[string]string {
	t.Helper()
	sections := map[string]string{}
	for _, section := range strings.Split(read(t, onCallPage), "\n## ")[1:] {
		title, text, _ := strings.Cut(section, "\n")
		if title != "Which alert is which" {
			sections[title] = text
		}
	}
	if len(sections) == 0 {
		t.Fatalf("%s has no sections; the pattern is wrong", onCallPage)
	}
	return sections
}

// onCallPart returns one part of a section, up to the next item of its list.
func onCallPart(section, name string) string {
	_, part, found := strings.Cut("\n"+section, "\n"+name)
	if !found {
		return ""
	}
	part, _, _ = strings.Cut(part, "\n- ")
	return part
}
