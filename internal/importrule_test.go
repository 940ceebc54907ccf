// Package internal contains a test of the dependency rule: core packages import no adapter.
package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/azurebarrow/azurebarrow/"

// outerDirectories are the top-level folders whose packages may import anything; all other packages
// except the root package are core.
var outerDirectories = []string{"adapters", "bench", "cmd", "entry", "internal", "platform", "standin", "test"}

var forbiddenInCore = []string{
	module + "adapters", module + "bench", module + "cmd", module + "entry", module + "platform", module + "standin",
	"net/http", "github.com/sirupsen/logrus",
}

func isOuter(path string) bool {
	first, _, nested := strings.Cut(filepath.ToSlash(path), "/")
	if !nested {
		return true // the root package assembles the entry from core packages and adapters
	}
	for _, directory := range outerDirectories {
		if first == directory {
			return true
		}
	}
	return false
}

func TestCorePackagesImportNoAdapter(t *testing.T) {
	checked := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, _ := filepath.Rel("..", path)
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || isOuter(relative) {
			return nil
		}
		checked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, _ := strconv.Unquote(spec.Path.Value)
			for _, forbidden := range forbiddenInCore {
				if imported == forbidden || strings.HasPrefix(imported, forbidden+"/") {
					t.Errorf("%s imports %s", relative, imported)
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Fatal("no core file found")
	}
}
