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

const lookupWorkload = `
name: lookups
duration: 50ms
accounts: {a: {key: k, budgets: [{name: b, paid: 100000}]}}
classes:
  lookups: {kind: service, rate: 200, service: s, method: GET, path: "/x/{n}", price: 2, idempotent: true, accounts: [{account: a, weight: 1}]}
`

// newInstance starts a server that responds to lookups, with a wrong body if corrupt is true.
func newInstance(t *testing.T, corrupt bool) string {
	t.Helper()
	mux := http.NewServeMux()
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	mux.HandleFunc("/v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}],"life":1000}`, address)
	})
	mux.HandleFunc("/v1/requests/{id}", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"outcome":"done","state":"settled","tokens":2}`))
	})
	mux.HandleFunc("/v1/services/s/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Lace-Outcome", "done")
		path := strings.TrimPrefix(r.URL.Path, "/v1/services/s")
		if corrupt {
			path = "/y"
		}
		_, _ = w.Write(laceemulator.ServiceResponse(r.Method, path, nil, 0))
	})
	return address
}

// Guards against exit codes by which a script takes a violated guarantee, a failed run or an invalid command line for a
// success.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "w.yaml")
	if err := os.WriteFile(file, []byte(lookupWorkload), 0o600); err != nil {
		t.Fatal(err)
	}
	truncated := filepath.Join(dir, "cut.trace")
	if err := os.WriteFile(truncated, []byte(`{"spec":{"claim":"c"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	valid, invalid := newInstance(t, false), newInstance(t, true)
	for line, want := range map[string]int{
		"":                   exitError,
		"walk":               exitError,
		"run -workload none": exitError,
		"run -workload " + file + " -addresses x":        exitError,
		"run -workload " + file:                          exitError,
		"run -help":                                      exitOK,
		"run -workload " + file + " -addresses " + valid: exitOK,
		"run -workload " + file + " -out " + dir + " -addresses " + invalid: exitViolation,
		"overhead -workload " + file + " -instance x":                       exitError,
		"experiment":          exitError,
		"experiment " + file:  exitError,
		"replay":              exitError,
		"replay " + file:      exitError,
		"soak -instances 0":   exitError,
		"soak -instances 500": exitError,
		"soak -duration 1s":   exitError,
		"replay ../../lib/lacetrace/testdata/chat_whole.trace": exitOK,
		"replay " + truncated: exitViolation,
	} {
		var stdout, stderr bytes.Buffer
		if got := Run(strings.Fields(line), &stdout, &stderr); got != want {
			t.Errorf("%q: exit code %d, want %d\n%s%s", line, got, want, &stdout, &stderr)
		}
	}
	var report laceload.Report
	raw, err := os.ReadFile(filepath.Join(dir, "report.json"))
	if err != nil || json.Unmarshal(raw, &report) != nil || report.Violations.Mismatched == 0 {
		t.Errorf("%v, %s", err, raw)
	}
}
