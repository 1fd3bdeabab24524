package laceconfig

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

func readSample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "samples", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against samples that the decoder rejects and values that change in an encoding round trip.
func TestSamplesRoundTrip(t *testing.T) {
	for _, name := range []string{"coop.yaml", "shrestha.yaml"} {
		d, err := Decode(readSample(t, name))
		if err != nil {
			t.Fatalf("%s:\n%v", name, err)
		}
		text, err := Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(text)
		if err != nil {
			t.Fatalf("%s encoded:\n%v", name, err)
		}
		if diff := cmp.Diff(d, again); diff != "" {
			t.Fatal(diff)
		}
		if len(d.Accounts) != 10 {
			t.Fatalf("%s has %d accounts", name, len(d.Accounts))
		}
	}
}

// Guards against a validator that stops at the first fault, loses the line, or reveals a key in its message.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	_, err := Decode([]byte(faultyDocument))
	if err == nil {
		t.Fatal("accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()+"\n"))
}

const faultyDocument = `accounts:
  one:
    keys:
      - name: main
        hash: sample-one-key
      - name: main
        hash: 00000000000000000000000000000000000000000000000000000000000000aa
        budget: elsewhere
    budgets: [a, b]
    colour: red
  two:
    keys:
      - name: main
        hash: 00000000000000000000000000000000000000000000000000000000000000aa
    budgets: [b]
  three: {}
  "not an id": {budgets: [c]}
servers:
  s1: {kind: engine, address: "127.0.0.1:7000", models: [absent], services: [ledger]}
  s2: {kind: pump, address: localhost}
  s3: {kind: service, address: "127.0.0.1:7000"}
models:
  m: {context: 100, output: 200}
  m: {context: 1, output: 1}
  n: {context: 0, output: 1, priority: 9}
services:
  x: {timeout: 30, routes: [{method: post, prefix: orders}]}
routing: {wait: 2 weeks, bound: .nan, policy: luck}
limits: {body: 4MB, account: {requests: -1}}
audit: [keep]
`
