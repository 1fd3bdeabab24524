package lacerouter

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against metrics that are missing from docs/operate/metrics.md, or listed there although no code creates them.
// The names are read from the sources, because a registry exposes a metric with labels only after its first
// observation.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	sources, err := filepath.Glob("../../lib/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	own, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	created := map[string]bool{}
	literal := regexp.MustCompile(`"((?:lace|ledger|overrun)_[a-z_]+)"`)
	for _, name := range append(sources, own...) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(name, "_test.go") || !strings.Contains(string(text), "client_golang/prometheus") {
			continue
		}
		for _, m := range literal.FindAllSubmatch(text, -1) {
			created[string(m[1])] = true
		}
	}
	listed := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (?:gauge|counter|histogram) \\|").FindAllSubmatch(page, -1) {
		listed[string(m[1])] = true
	}
	if len(created) == 0 {
		t.Fatal("no metric found in the sources")
	}
	for _, name := range slices.Sorted(maps.Keys(created)) {
		if !listed[name] {
			t.Errorf("metric %s is not on the page", name)
		}
		delete(listed, name)
	}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		t.Errorf("no code creates metric %s", name)
	}
}
