package docs_test

import (
	"go/ast"
	"path"
	"regexp"
	"strings"
	"testing"
)

// codeName matches a name of the code such as `record.Machine.Apply` in a page, or
// "raft.Node" in its figure.
var codeName = regexp.MustCompile("[`\"]([a-z][a-z0-9]*)((?:\\.[A-Za-z][A-Za-z0-9]*){1,2})[`\",]")

// pagesThatNameCode are the pages that lead a reader through the code by its names.
var pagesThatNameCode = []string{"ARCHITECTURE.md", "notes/first-change.md", "operating/late-job.md"}

// TestArchitecturePage_NamesWhatExists checks each name of the page, and of those that
// lead through the code in the same way, against the declarations of the package that it
// names.
func TestArchitecturePage_NamesWhatExists(t *testing.T) {
	folders := foldersByPackage(t)
	for _, page := range pagesThatNameCode {
		t.Run(page, func(t *testing.T) { checkNames(t, page, folders) })
	}
}

// checkNames checks the names of one page.
func checkNames(t *testing.T, page string, folders map[string]string) {
	t.Helper()
	declared := map[string]map[string]bool{}
	names := codeName.FindAllStringSubmatch(read(t, page), -1)
	if len(names) == 0 {
		t.Fatal("the page names no function; the pattern is wrong")
	}
	for _, match := range names {
		packageName, name := match[1], strings.TrimPrefix(match[2], ".")
		if name == "go" || name == "md" {
			continue // a file
		}
		if folders[packageName] == "" {
			t.Errorf("%s names %s.%s; there is no package %s", page, packageName, name, packageName)
			continue
		}
		if declared[packageName] == nil {
			declared[packageName] = declarations(t, folders[packageName])
		}
		if !declared[packageName][name] {
			t.Errorf("%s names %s.%s, which %s does not declare", page, packageName, name, folders[packageName])
		}
	}
}

// foldersByPackage returns the folder of each package name; of several packages of
// one name, the one that is nearest to the root.
func foldersByPackage(t *testing.T) map[string]string {
	t.Helper()
	folders := map[string]string{}
	for _, folder := range packageFolders(t) {
		name := path.Base(folder)
		known, taken := folders[name]
		if !taken || strings.Count(folder, "/") < strings.Count(known, "/") {
			folders[name] = folder
		}
	}
	return folders
}

// declarations returns what a package declares at its top level: NAME for types
// and functions, TYPE.METHOD for methods.
func declarations(t *testing.T, folder string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, file := range parsePackage(t, folder) {
		for _, declaration := range file.Decls {
			switch declared := declaration.(type) {
			case *ast.FuncDecl:
				names[receiverPrefix(declared)+declared.Name.Name] = true
			case *ast.GenDecl:
				for _, specification := range declared.Specs {
					if named, ok := specification.(*ast.TypeSpec); ok {
						names[named.Name.Name] = true
					}
				}
			}
		}
	}
	return names
}

// receiverPrefix is "TYPE." for a method and empty for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if named, ok := receiver.(*ast.Ident); ok {
		return named.Name + "."
	}
	return ""
}
