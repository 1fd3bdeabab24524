package lacequarantine

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceunit"
)

func testCrash() Crash {
	return Crash{
		Server:    "i-7f3a91c2",
		StartTime: 1_700_000_000_123,
		At:        time.UnixMilli(1_700_000_005_678),
		Prompts:   [][]Part{{part("5c1e07a2"), part("91bd3f06")}, {part("e4402b7d")}},
	}
}

func testVerdict() Verdict {
	v := newVerdict(time.UnixMilli(1_700_000_006_000), []Part{part("5c1e07a2"), part("91bd3f06")},
		[]laceunit.ServerID{"i-7f3a91c2", "i-11d0"})
	v.Origin = "edge-1"
	v.Since = time.UnixMilli(1_700_000_001_000)
	return v
}

// Guards against records that other builds can't read, and against ids of verdicts that depend on the build.
func TestRecordFormat(t *testing.T) {
	report, err := EncodeReport([]Crash{testCrash()})
	if err != nil {
		t.Fatal(err)
	}
	verdict, err := EncodeVerdict(testVerdict())
	if err != nil {
		t.Fatal(err)
	}
	text := string(report) + "\n" + string(verdict) + "\n" + string(testVerdict().ID) + "\n"
	goldie.New(t).Assert(t, "records", []byte(text))
	crashes, err := DecodeReport(report)
	if err != nil || !reflect.DeepEqual(crashes, []Crash{testCrash()}) {
		t.Errorf("decoded %+v, error %v", crashes, err)
	}
	v, err := DecodeVerdict(testVerdict().ID, verdict)
	if err != nil || !reflect.DeepEqual(v, testVerdict()) {
		t.Errorf("decoded %+v, error %v", v, err)
	}
}

// Guards against records with hashes that other builds can't read.
func TestRecordFormatWithHashes(t *testing.T) {
	c := testCrash()
	c.Others = hashSet(nil).with(maxReportHashes, part("a"), part("b"))
	c.Answered = hashSet(nil).with(maxReportHashes, part("c"))
	report, err := EncodeReport([]Crash{c})
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "hashes", report)
	if crashes, err := DecodeReport(report); err != nil || !reflect.DeepEqual(crashes, []Crash{c}) {
		t.Errorf("decoded %+v, error %v", crashes, err)
	}
}

// Guards against reports that other instances reject as too long, because of ids that callers choose.
func TestReportsAreNeverTooLong(t *testing.T) {
	var crashes []Crash
	for i := range maxReported {
		c := Crash{
			Server: laceunit.ServerID(strings.Repeat("s", i+1)),
			At:     time.UnixMilli(1_700_000_005_678),
		}
		for k := range maxPrompts {
			var prompt []Part
			for n := range MaxParts {
				prompt = append(prompt, part("%02d%04d%s", k, n, strings.Repeat("<", MaxIDBytes-6)))
			}
			c.addPrompt(prompt, false)
			c.addAnswered(prompt)
		}
		if n := countParts(c.Prompts); n != maxReportParts {
			t.Errorf("a report holds %d parts", n)
		}
		crashes = append(crashes, c)
	}
	text, err := EncodeReport(crashes)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeReport(text)
	if err != nil || decoded[len(decoded)-1].Server != crashes[maxReported-1].Server {
		t.Errorf("a report of %d bytes: %d crashes, error %v", len(text), len(decoded), err)
	}
}

// Guards against records of another writer that end the process, grow its state or block everything.
func TestMalformedRecords(t *testing.T) {
	long := strings.Repeat("x", MaxIDBytes+1)
	for name, text := range map[string]string{
		"empty":             "",
		"nested":            strings.Repeat("[", 100_000),
		"too long":          `{"crashes":[],"x":"` + strings.Repeat("x", maxRecordBytes) + `"}`,
		"no server":         `{"crashes":[{"calls":[[["m","a"]]]}]}`,
		"no parts":          `{"crashes":[{"server":"s","calls":[[]]}]}`,
		"long part":         `{"crashes":[{"server":"s","calls":[[["m","` + long + `"]]]}]}`,
		"too many crashes":  `{"crashes":[` + strings.Repeat(`{"server":"s"},`, maxReported) + `{"server":"s"}]}`,
		"too many requests": `{"crashes":[{"server":"s","calls":[` + strings.Repeat(`[["m","a"]],`, maxPrompts) + `[["m","a"]]]}]}`,
		"cut hash":          `{"crashes":[{"server":"s","others":"AAAAAAA="}]}`,
		"too many hashes": `{"crashes":[{"server":"s","known":"` +
			strings.Repeat("AAAA", 1+hashBytes*maxReportHashes/3) + `"}]}`,
		"number too large": `{"crashes":[{"server":"s","born":1e999}]}`,
	} {
		if _, err := DecodeReport([]byte(text)); !errors.Is(err, ErrRecord) {
			t.Errorf("report, %s: error %v", name, err)
		}
	}
	for name, text := range map[string]string{
		"empty":         "",
		"nested":        strings.Repeat(`{"parts":`, 100_000),
		"no parts":      `{"state":"blocked","parts":[]}`,
		"empty part":    `{"state":"blocked","parts":[["m",""]]}`,
		"unknown state": `{"state":"gone","parts":[["m","a"]]}`,
	} {
		if _, err := DecodeVerdict("v", []byte(text)); !errors.Is(err, ErrRecord) {
			t.Errorf("verdict, %s: error %v", name, err)
		}
	}
}
