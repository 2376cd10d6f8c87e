package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode"
)

// withdrawnFile lists the withdrawn words, the packages that are held to them,
// and the names that may stay.
const withdrawnFile = "withdrawn-names.txt"

// withdrawnNames is what withdrawnFile says.
type withdrawnNames struct {
	// terms are the terms that take the place of each word.
	terms map[string]string
	// packages are folders below the repository's root.
	packages map[string]bool
	// allowed are names that may stay, as "PACKAGE NAME".
	allowed map[string]bool
	// phrases are the terms that take the place of each phrase of comments.
	phrases map[string]string
}

// declaredName is one identifier that a package declares.
type declaredName struct {
	folder, name, position string
}

// TestNames_UseNoWithdrawnWords keeps invented words from coming back into
// packages whose names were brought to the field's terms.
func TestNames_UseNoWithdrawnWords(t *testing.T) {
	withdrawn := readWithdrawn(t)
	used := map[string]bool{}
	for folder := range withdrawn.packages {
		for _, declared := range declaredNames(t, folder) {
			for _, word := range wordsOf(declared.name) {
				term, found := withdrawn.terms[word]
				if !found {
					continue
				}
				key := declared.folder + " " + declared.name
				used[key] = true
				if !withdrawn.allowed[key] {
					t.Errorf("%s: %s uses %q; the term is %s (%s)", declared.position, declared.name, word, term, withdrawnFile)
				}
			}
		}
	}
	for key := range withdrawn.allowed {
		if !used[key] {
			t.Errorf("%s allows %s, which is not declared there or uses no withdrawn word", withdrawnFile, key)
		}
	}
}

// readWithdrawn reads lines of the forms "word WORD: TERM", "package FOLDER",
// "allow FOLDER NAME: REASON" and "comment PHRASE, PHRASE: TERM".
func readWithdrawn(t *testing.T) withdrawnNames {
	t.Helper()
	names := withdrawnNames{
		terms:    map[string]string{},
		packages: map[string]bool{},
		allowed:  map[string]bool{},
		phrases:  map[string]string{},
	}
	for line := range strings.Lines(read(t, withdrawnFile)) {
		line = strings.TrimSpace(line)
		kind, rest, _ := strings.Cut(line, " ")
		subject, reason, explained := strings.Cut(rest, ": ")
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case kind == "word" && explained:
			for _, word := range strings.Split(subject, ", ") {
				names.terms[word] = reason
			}
		case kind == "comment" && explained:
			for _, phrase := range strings.Split(subject, ", ") {
				names.phrases[phrase] = reason
			}
		case kind == "package" && !explained:
			names.packages[subject] = true
		case kind == "allow" && explained:
			names.allowed[subject] = true
		default:
			t.Errorf("%s: %q has none of the forms that the file explains", withdrawnFile, line)
		}
	}
	if len(names.terms) == 0 || len(names.packages) == 0 {
		t.Fatalf("%s lists %d words and %d packages", withdrawnFile, len(names.terms), len(names.packages))
	}
	return names
}

// declaredNames returns what the files of a folder declare, without tests:
// types, functions, methods, fields, parameters, results, constants and
// variables.
func declaredNames(t *testing.T, folder string) []declaredName {
	t.Helper()
	var names []declaredName
	for path, file := range parsePackage(t, folder) {
		add := func(identifiers ...*ast.Ident) {
			for _, identifier := range identifiers {
				names = append(names, declaredName{folder, identifier.Name, path})
			}
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch declaration := node.(type) {
			case *ast.FuncDecl:
				add(declaration.Name)
			case *ast.TypeSpec:
				add(declaration.Name)
			case *ast.Field:
				add(declaration.Names...)
			case *ast.ValueSpec:
				add(declaration.Names...)
			case *ast.AssignStmt:
				if declaration.Tok == token.DEFINE {
					add(assignedNames(declaration)...)
				}
			}
			return true
		})
	}
	if len(names) == 0 {
		t.Errorf("%s: %s declares nothing", withdrawnFile, folder)
	}
	return names
}

func assignedNames(assignment *ast.AssignStmt) []*ast.Ident {
	var names []*ast.Ident
	for _, target := range assignment.Lhs {
		if identifier, ok := target.(*ast.Ident); ok {
			names = append(names, identifier)
		}
	}
	return names
}

// parsePackage parses the files of a folder that are no tests, by their paths.
func parsePackage(t *testing.T, folder string) map[string]*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repository, folder, "*.go"))
	must(t, err)
	files := map[string]*ast.File{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
		must(t, err)
		files[path] = file
	}
	return files
}

// wordsOf splits a name in mixed case into its words, in lower case.
func wordsOf(name string) []string {
	var words []string
	var word strings.Builder
	previous := rune(0)
	for _, letter := range name {
		if unicode.IsUpper(letter) && !unicode.IsUpper(previous) && word.Len() > 0 {
			words = append(words, strings.ToLower(word.String()))
			word.Reset()
		}
		word.WriteRune(letter)
		previous = letter
	}
	return append(words, strings.ToLower(word.String()))
}

// minPackageWords is the length below which a package comment can hardly say
// what the package owns.
const minPackageWords = 12

// TestPackages_SayWhatTheyOwn: each package has one comment, which names it and
// says more than its name does.
func TestPackages_SayWhatTheyOwn(t *testing.T) {
	for _, folder := range packageFolders(t) {
		files := parsePackage(t, folder)
		comments := map[string]string{}
		for path, file := range files {
			if file.Doc != nil {
				comments[path] = file.Doc.Text()
			}
		}
		if len(comments) != 1 {
			t.Errorf("%s has %d package comments, want one: %v", folder, len(comments), slices.Sorted(maps.Keys(comments)))
			continue
		}
		for path, comment := range comments {
			checkPackageComment(t, path, files[path].Name.Name, comment)
		}
	}
}

func checkPackageComment(t *testing.T, path, name, comment string) {
	t.Helper()
	start := "Package " + name + " "
	if name == "main" {
		start = "Command " + filepath.Base(filepath.Dir(path)) + " "
	}
	if !strings.HasPrefix(comment, start) {
		t.Errorf("%s: the package comment does not begin with %q", path, start)
	}
	if words := len(strings.Fields(comment)); words < minPackageWords {
		t.Errorf("%s: the package comment has %d words; it must say what the package owns", path, words)
	}
}

// packageFolders lists the folders with Go files that are no tests.
func packageFolders(t *testing.T) []string {
	t.Helper()
	folders := map[string]bool{}
	err := filepath.WalkDir(repository, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && skipped[entry.Name()] {
			return fs.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			folder, err := filepath.Rel(repository, filepath.Dir(path))
			if err != nil {
				return err
			}
			folders[folder] = true
		}
		return nil
	})
	must(t, err)
	return slices.Sorted(maps.Keys(folders))
}
