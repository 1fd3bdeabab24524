package lacenode

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against a reference page that differs from the code.
func TestReferencePage(t *testing.T) {
	docs := goldie.New(t, goldie.WithFixtureDir(filepath.Join("..", "..", "docs")), goldie.WithNameSuffix(".md"))
	docs.Assert(t, "node", []byte(ReferencePage()))
}

const good = `
instance: router-1
caller: 127.0.0.1:80
store: {address: 127.0.0.1:90}
`

// Guards against a wrong setting that is taken for a default, or that is refused without its key.
func TestFaultsNameTheirKey(t *testing.T) {
	if _, err := Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for key, text := range map[string]string{
		"instance":     strings.Replace(good, "router-1", `"a b"`, 1),
		"caller":       strings.Replace(good, "127.0.0.1:80", "nowhere", 1),
		"store":        "instance: a\ncaller: 127.0.0.1:80\n",
		"drain.notice": good + "drain: {grace: 2s, notice: 3s}\n",
		"retry.ratio":  good + "retry: {ratio: 7}\n",
		"speed":        good + "speed: 3\n",
		"machine.link": good + "machine: {link: fast}\n",
		"ledger.share": good + "ledger: {share: 1.5}\n",
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("a fault in %s: %v", key, err)
		}
	}
}

// Guards against a template whose keys the program does not know.
func TestTemplateHasKnownKeys(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	fill := strings.NewReplacer(
		`[{{#seeds}}"{{.}}"{{,}}{{/seeds}}]`, `["10.0.0.1:8229"]`,
		"{{ip}}:{{port_range.0}}", "10.0.0.1:7340",
		"{{platform.address}}", "10.0.0.9:8223", "{{platform.ttl_min_ms}}", "1000",
		"{{bounds.grace_s}}", "8", "{{bounds.budget_window_s}}", "10", "{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.budget_slack}}", "54", "{{node_name}}", "router-1", "{{region}}", "r1", "{{zone}}", "z1",
		"{{listen.front}}", "10.0.0.1:8227", "{{listen.ready_address}}", "10.0.0.1:8220",
		"{{limits.cpu_share}}", "0.192", "{{#bounds.apply_ms}}", "", "{{/bounds.apply_ms}}", "", "{{bounds.apply_ms}}", "2000", "{{listen.directory}}", "10.0.0.1:8224", "{{listen.control}}", "10.0.0.1:8229",
	)
	// A site may name no rate of its links.
	for value, want := range map[string]float64{"10": 10, "2.5": 2.5, "": 0} {
		filled := strings.Replace(fill.Replace(string(text)), "{{limits.link_mbps}}", value, 1)
		s, err := Decode([]byte(filled))
		if err != nil {
			t.Fatalf("%v in\n%s", err, filled)
		}
		if s.Machine.LinkMbps != want {
			t.Errorf("link %q is taken for %g Mbit/s", value, s.Machine.LinkMbps)
		}
		checkTemplate(t, s)
	}
}

func checkTemplate(t *testing.T, s Settings) {
	t.Helper()
	if s.RetryBudget.Ratio != 0.2 || len(s.Seeds) != 1 || s.PeerAddress == "" || s.Machine.Cores != 0.192 || s.ApplyTimeout != 2*time.Second {
		t.Errorf("settings %+v", s)
	}
}
