package lacesetting

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceunit"
)

// Guards against defaults that their own check refuses, and against output that reads back as other settings.
func TestDefaultRoundTrip(t *testing.T) {
	s, err := Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Caller.Advertise, want.Peer.Advertise = want.Caller.Listen, want.Peer.Listen
	if diff := cmp.Diff(want, s); diff != "" {
		t.Fatal(diff)
	}
	text, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "default", text)
	again, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, again); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against flags that lose to the file, and against a lean that changes the offline part: with either one an
// outage of five minutes has to be covered.
func TestFlagsOverrideFile(t *testing.T) {
	file := filepath.Join("..", "..", "samples", "router.yaml")
	s, rest, err := Load("router", []string{
		"-lean", "strict", "-settings", file, "-config.fresh=3s", "-platform.endpoints", "http://a:1,http://b:2", "extra",
	}, &bytes.Buffer{})
	if err != nil {
		t.Fatal(err)
	}
	if s.Consistency != laceunit.ConsistencyStrict || s.Grant.OfflineFraction != 0.9 || s.Grant.Coverage != 7*time.Minute || s.Config.MaxStaleness != 3*time.Second ||
		len(s.Platform.Endpoints) != 2 || s.Place.Zone != "coop-a" || len(rest) != 1 {
		t.Fatalf("%+v %v", s, rest)
	}
}

// Guards against a check that stops at the first fault or loses file and line, and against plain text off loopback.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	fixtures, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	text := "instance: a b\ncaller:\n  listen: 0.0.0.0:80\npeer:\n  listen: 10.0.0.1:81\n  tls:\n    key: absent.pem\n" +
		"lean: sideways\nplatform:\n  endpoints: [ftp://x]\nledger:\n  shard: 4\ngrant:\n  offline: 1.5\n" +
		"admin:\n  listen: 127.0.0.1:82\n  operators: absent.yaml\n"
	if err = os.WriteFile("router.yaml", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, _, err = Load("router", []string{"-settings", "router.yaml", "-drain", "soon"}, &bytes.Buffer{})
	var fault *Fault
	if !errors.As(err, &fault) {
		t.Fatalf("got %v", err)
	}
	goldie.New(t, goldie.WithFixtureDir(fixtures)).Assert(t, "faults", []byte(err.Error()+"\n"))
}

// Guards against a misspelt flag that is silently ignored.
func TestUnknownFlagIsUsage(t *testing.T) {
	if _, _, err := Load("router", []string{"-colour", "red"}, &bytes.Buffer{}); !errors.Is(err, ErrUsage) {
		t.Fatalf("got %v", err)
	}
}
