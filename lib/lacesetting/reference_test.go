package lacesetting

import (
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a reference page that differs from the code.
func TestReferencePage(t *testing.T) {
	docs := goldie.New(t, goldie.WithFixtureDir(filepath.Join("..", "..", "docs")), goldie.WithNameSuffix(".md"))
	docs.Assert(t, "settings", []byte(ReferencePage()))
}
