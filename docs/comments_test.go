package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"regexp"
	"strings"
	"testing"
)

// withdrawnPhrase is a phrase that comments must not use.
type withdrawnPhrase struct {
	phrase string
	// term takes the place of the phrase.
	term string
	// pattern matches the phrase as complete words, in any case.
	pattern *regexp.Regexp
}

// TestComments_UseNoWithdrawnPhrases keeps the phrases that withdrawnFile lists as
// "comment" out of all comments, and out of the messages that the daemons log.
func TestComments_UseNoWithdrawnPhrases(t *testing.T) {
	phrases := withdrawnPhrases(t)
	for _, path := range filesEndingIn(t, ".go") {
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		must(t, err)
		for _, comment := range file.Comments {
			checkPhrases(t, phrases, fileSet.Position(comment.Pos()).String(), commentText(comment))
		}
	}
	for message, path := range loggedMessages(t) {
		checkPhrases(t, phrases, path, message)
	}
}

// TestWithdrawnPhrases_AreFound guards against patterns that match nothing: each phrase
// must be found in a comment that has it, also across a line break.
func TestWithdrawnPhrases_AreFound(t *testing.T) {
	for _, withdrawn := range withdrawnPhrases(t) {
		group := &ast.CommentGroup{}
		for word := range strings.FieldsSeq("The leader " + withdrawn.phrase + " here.") {
			group.List = append(group.List, &ast.Comment{Text: "// " + word})
		}
		if text := commentText(group); !withdrawn.pattern.MatchString(text) {
			t.Errorf("phrase %q is not found in %q", withdrawn.phrase, text)
		}
	}
}

// withdrawnPhrases returns the phrases that withdrawnFile lists.
func withdrawnPhrases(t *testing.T) []withdrawnPhrase {
	t.Helper()
	var phrases []withdrawnPhrase
	for phrase, term := range readWithdrawn(t).phrases {
		pattern := regexp.MustCompile(`(?i)\b` + regexp.QuoteMeta(phrase) + `\b`)
		phrases = append(phrases, withdrawnPhrase{phrase: phrase, term: term, pattern: pattern})
	}
	if len(phrases) == 0 {
		t.Fatalf("%s lists no phrase of comments", withdrawnFile)
	}
	return phrases
}

// checkPhrases reports each withdrawn phrase in the text.
func checkPhrases(t *testing.T, phrases []withdrawnPhrase, position, text string) {
	t.Helper()
	for _, withdrawn := range phrases {
		if withdrawn.pattern.MatchString(text) {
			t.Errorf("%s: %q in %q; the term is %s (%s)", position, withdrawn.phrase, text, withdrawn.term, withdrawnFile)
		}
	}
}

// commentText returns the words of a comment, separated by single spaces.
func commentText(comment *ast.CommentGroup) string {
	return strings.Join(strings.Fields(comment.Text()), " ")
}
