package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// module is the prefix of the import paths of this module.
const module = "chervilwalk/"

// allowedImports maps each area to the other areas that its packages, without
// their tests, may import. Serving and ownership must not depend on each other or
// on the gateway that runs them, and only commands may use the stand-ins.
var allowedImports = map[string][]string{
	"internal/base":       {},
	"internal/catalog":    {"internal/base"},
	"internal/peer":       {"internal/base", "internal/catalog"},
	"internal/serving":    {"internal/base", "internal/catalog", "internal/peer"},
	"internal/ownership":  {"internal/base", "internal/catalog", "internal/peer"},
	"platform":            {"internal/base", "internal/catalog"},
	"internal/operations": {"internal/base", "internal/catalog", "platform"},
	"internal/fleet":      {"internal/base", "internal/catalog", "internal/peer", "internal/serving", "internal/ownership", "internal/operations", "platform"},
	"internal/stand":      {"internal/base", "internal/catalog", "internal/operations", "internal/fleet", "platform"},
}

// area returns the area of a path: its first element, or its first two below
// internal.
func area(path string) string {
	parts := strings.SplitN(path, "/", 3)
	if parts[0] != "internal" || len(parts) < 2 {
		return parts[0]
	}
	return parts[0] + "/" + parts[1]
}

// TestImportsBetweenAreas checks that packages import only the areas that
// allowedImports lists for them.
func TestImportsBetweenAreas(t *testing.T) {
	gm := NewWithT(t)
	seen := map[string]bool{}
	for _, root := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			from := area(filepath.ToSlash(strings.TrimPrefix(filepath.ToSlash(path), "../")))
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			seen[from] = true
			for _, im := range file.Imports {
				name, err := strconv.Unquote(im.Path.Value)
				if err != nil {
					return err
				}
				own, found := strings.CutPrefix(name, module)
				if !found || area(own) == from {
					continue
				}
				gm.Expect(allowedImports[from]).To(ContainElement(area(own)), "%s imports %s", path, name)
			}
			return nil
		})
		gm.Expect(err).NotTo(HaveOccurred())
	}
	gm.Expect(seen).To(HaveLen(len(allowedImports)))
}
