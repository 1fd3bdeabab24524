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

const validSettings = `
instance: router-1
caller: 127.0.0.1:80
store: {address: 127.0.0.1:90}
`

// Guards against an invalid setting that is replaced by its default, or rejected without naming its key.
func TestErrorsNameTheKey(t *testing.T) {
	if _, err := Decode([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for key, text := range map[string]string{
		"instance":     strings.Replace(validSettings, "router-1", `"a b"`, 1),
		"caller":       strings.Replace(validSettings, "127.0.0.1:80", "nowhere", 1),
		"store":        "instance: a\ncaller: 127.0.0.1:80\n",
		"drain.notice": validSettings + "drain: {grace: 2s, notice: 3s}\n",
		"retry.ratio":  validSettings + "retry: {ratio: 7}\n",
		"speed":        validSettings + "speed: 3\n",
		"machine.link": validSettings + "machine: {link: fast}\n",

		"machine.memory":      validSettings + "machine: {memory: -1}\n",
		"machine.descriptors": validSettings + "machine: {descriptors: 1.5}\n",

		"ledger.share": validSettings + "ledger: {share: 1.5}\n",
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("invalid %s: %v", key, err)
		}
	}
}

// Guards against a template with unknown keys.
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
		"{{limits.cpu_share}}", "0.192",
		"{{#bounds.apply_ms}}", "", "{{/bounds.apply_ms}}", "", "{{bounds.apply_ms}}", "2000",
		"{{listen.directory}}", "10.0.0.1:8224", "{{listen.control}}", "10.0.0.1:8229",
	)
	// A site may not specify the bandwidth of its links, or the memory and descriptors of its machines.
	for value, want := range map[string]float64{"10": 10, "2.5": 2.5, "": 0} {
		whole, _, _ := strings.Cut(value, ".")
		filled := strings.NewReplacer("{{limits.link_mbps}}", value, "{{limits.memory_mb}}", value,
			"{{limits.max_fds}}", whole).Replace(fill.Replace(string(text)))
		s, err := Decode([]byte(filled))
		if err != nil {
			t.Fatalf("%v in\n%s", err, filled)
		}
		if s.Machine.LinkMbps != want {
			t.Errorf("link %q is read as %g Mbit/s", value, s.Machine.LinkMbps)
		}
		if s.Machine.MemoryMB != want || s.Machine.Descriptors != int(want) {
			t.Errorf("memory and descriptors %q are read as %g MB and %d", value, s.Machine.MemoryMB,
				s.Machine.Descriptors)
		}
		checkTemplate(t, s)
	}
}

func checkTemplate(t *testing.T, s Settings) {
	t.Helper()
	if s.RetryBudget.Ratio != 0.2 || len(s.Seeds) != 1 || s.PeerAddress == "" ||
		s.Machine.Cores != 0.192 || s.ApplyTimeout != 2*time.Second {
		t.Errorf("settings %+v", s)
	}
}
