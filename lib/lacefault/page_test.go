package lacefault

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"
)

// codes returns every constant of type Code in fault.go.
func codes(t *testing.T) []Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "fault.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var list []Code
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := v.Type.(*ast.Ident); !ok || kind.Name != "Code" {
			return true
		}
		for _, x := range v.Values {
			text, err := strconv.Unquote(x.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, Code(text))
		}
		return true
	})
	return list
}

// Guards against a page for callers that omits codes, lists codes that don't exist or states another status.
func TestCallerPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[Code]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\|").FindAllSubmatch(page, -1) {
		listed[Code(m[1])] = string(m[2])
	}
	all := codes(t)
	if len(all) == 0 || len(all) != len(listed) {
		t.Errorf("%d codes, %d on the page", len(all), len(listed))
	}
	for _, c := range all {
		if want := strconv.Itoa(c.Status()); listed[c] != want {
			t.Errorf("code %s: status %q on the page, want %s", c, listed[c], want)
		}
	}
}
