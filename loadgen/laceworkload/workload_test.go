package laceworkload

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

func sample(t *testing.T, name string) Workload {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "samples", name+"-load.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	w, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// Guards against samples whose accounts, budgets, models, services or prices differ from those of the configuration.
func TestSamplesMatchTheConfiguration(t *testing.T) {
	for _, name := range []string{"coop", "shrestha"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "samples", name+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		d, err := laceconfig.Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		w := sample(t, name)
		for id, a := range d.Accounts {
			var names []string
			for _, b := range w.Accounts[id].Budgets {
				names = append(names, string(b.Name))
			}
			var want []string
			for _, b := range a.Budgets {
				want = append(want, string(b))
			}
			if strings.Join(names, " ") != strings.Join(want, " ") {
				t.Errorf("%s: budgets of %s are %v, want %v", name, id, names, want)
			}
		}
		for id, c := range w.Classes {
			if c.Kind == KindChat && d.Models[c.Model].MaxOutput == 0 {
				t.Errorf("%s: %s: no model %s", name, id, c.Model)
			}
			if c.Kind == KindService {
				price, idempotent := priceOf(d.Services[c.Service], c)
				if price != c.Price || idempotent != c.Idempotent {
					t.Errorf("%s: %s costs %d, idempotent %v", name, id, price, idempotent)
				}
			}
		}
	}
}

func priceOf(s laceconfig.Service, c Class) (laceunit.Tokens, bool) {
	for _, r := range s.Routes {
		if r.Method == c.Method && strings.HasPrefix(c.Path, r.Prefix) {
			if r.Price > 0 {
				return r.Price, r.Idempotent
			}
			return s.Price, r.Idempotent
		}
	}
	return s.Price, c.Method == http.MethodGet
}

// Guards against a source that gives other requests for the same seed, the same for another one, or another rate.
func TestSource(t *testing.T) {
	w := sample(t, "coop")
	draw := func(seed uint64) (all []string) {
		s := NewGenerator(w, seed, "t")
		for q, ok := s.Next(); ok; q, ok = s.Next() {
			all = append(all, q.Arrival.String()+string(q.Account)+string(q.Budget)+q.Path+string(q.Body)+q.ExpectedText)
		}
		return all
	}
	first, again, other := draw(7), draw(7), draw(8)
	if strings.Join(first, "\n") != strings.Join(again, "\n") || strings.Join(first, "\n") == strings.Join(other, "\n") {
		t.Error("the requests don't follow from the seed")
	}
	want := 0.0
	for _, c := range w.Classes {
		want += c.Rate * w.Duration.Seconds()
	}
	if n := float64(len(first)); n < 0.9*want || n > 1.1*want {
		t.Errorf("%v requests, want about %v", n, want)
	}
}

// Guards against files with a slip that start a run all the same.
func TestFaultyFiles(t *testing.T) {
	const good = `{name: w, accounts: {a: {key: k, budgets: [{name: b, paid: 1}]}}, classes: {c: {kind: service, rate: 1,
accounts: [{account: a, weight: 1}], service: s, path: /p}}}`
	if _, err := Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for old, wrong := range map[string]string{
		"account: a,":  "account: z,",
		"weight: 1":    "weight: 0",
		"path: /p":     "path: p",
		"kind: serv":   "kind: sorv",
		"rate: 1":      "rate: -1",
		"rate: 1,":     "rates: 1,",
		"paid: 1":      "paid: many",
		"service: s,":  "body: {low: 2, high: 1}, service: s,",
		"kind: servic": "output: {high: 3}, model: m, kind: chat, path: /servic",
	} {
		if _, err := Decode([]byte(strings.Replace(good, old, wrong, 1))); err == nil {
			t.Errorf("accepted %q in place of %q", wrong, old)
		}
	}
}

// Guards against workload files that crash the tool or draw requests that can't be sent.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		w, err := Decode(text)
		if err != nil {
			return
		}
		w.Limits.MaxRequests = min(w.Limits.MaxRequests, 3)
		s := NewGenerator(w, 1, "f")
		for q, ok := s.Next(); ok; q, ok = s.Next() {
			if q.Path == "" || q.Path[0] != '/' || q.Key == "" && w.Accounts[q.Account].Key != "" {
				t.Errorf("can't be sent: %+v", q)
			}
		}
	})
}
