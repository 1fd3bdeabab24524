package lacecommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/loadgen/laceload"
)

const lookups = `
name: lookups
duration: 50ms
accounts: {a: {key: k, budgets: [{name: b, paid: 100000}]}}
classes:
  lookups: {kind: service, rate: 200, service: s, method: GET, path: "/x/{n}", price: 2, idempotent: true, accounts: [{account: a, weight: 1}]}
`

// instance answers lookups, with a wrong body when it is told to.
func instance(t *testing.T, wrong bool) string {
	t.Helper()
	m := http.NewServeMux()
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	m.HandleFunc("/v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}],"life":1000}`, address)
	})
	m.HandleFunc("/v1/requests/{id}", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"outcome":"done","state":"settled","tokens":2}`))
	})
	m.HandleFunc("/v1/services/s/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Lace-Outcome", "done")
		path := strings.TrimPrefix(r.URL.Path, "/v1/services/s")
		if wrong {
			path = "/y"
		}
		_, _ = w.Write(laceemulator.ServiceResponse(r.Method, path, nil, 0))
	})
	return address
}

// Guards against scripts that take a broken promise, a run that failed or a wrong command line for a success.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "w.yaml")
	if err := os.WriteFile(file, []byte(lookups), 0o600); err != nil {
		t.Fatal(err)
	}
	cut := filepath.Join(dir, "cut.trace")
	if err := os.WriteFile(cut, []byte(`{"spec":{"claim":"c"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	good, bad := instance(t, false), instance(t, true)
	for line, want := range map[string]int{
		"":                   exitFailed,
		"walk":               exitFailed,
		"run -workload none": exitFailed,
		"run -workload " + file + " -addresses x":                       exitFailed,
		"run -workload " + file:                                         exitFailed,
		"run -help":                                                     exitOK,
		"run -workload " + file + " -addresses " + good:                 exitOK,
		"run -workload " + file + " -out " + dir + " -addresses " + bad: exitBroken,
		"overhead -workload " + file + " -instance x":                   exitFailed,
		"experiment":          exitFailed,
		"experiment " + file:  exitFailed,
		"replay":              exitFailed,
		"replay " + file:      exitFailed,
		"soak -instances 0":   exitFailed,
		"soak -instances 500": exitFailed,
		"soak -duration 1s":   exitFailed,
		"replay ../../lib/lacetrace/testdata/chat_whole.trace": exitOK,
		"replay " + cut: exitBroken,
	} {
		var out, errs bytes.Buffer
		if got := Run(strings.Fields(line), &out, &errs); got != want {
			t.Errorf("%q: exit code %d, want %d\n%s%s", line, got, want, &out, &errs)
		}
	}
	var report laceload.Report
	raw, err := os.ReadFile(filepath.Join(dir, "report.json"))
	if err != nil || json.Unmarshal(raw, &report) != nil || report.Violations.Mismatched == 0 {
		t.Errorf("%v, %s", err, raw)
	}
}
