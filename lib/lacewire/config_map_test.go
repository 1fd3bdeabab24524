package lacewire

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// Guards against a field that the mapping drops; a lost gap or age would let an instance trust a wrong version.
func TestConfigMappingKeepsEveryField(t *testing.T) {
	want := laceconfig.Message{
		Status: laceconfig.Status{
			Sender:  laceunit.Holder{Instance: "i", Incarnation: 1<<64 - 1},
			Version: 7, Confirmed: true, Staleness: 3 * time.Second, PlatformReachable: true,
		},
		Delta: &laceconfig.Delta{
			From: 3, To: 7, Full: true,
			Gaps:  []laceconfig.Gap{{After: 4, Before: 6}},
			Items: []laceconfig.Item{{Section: laceconfig.SectionModels, Entry: "m", Body: "context: 1\n", Version: 5}},
		},
	}
	text, err := proto.Marshal(FromConfigMessage(want))
	if err != nil {
		t.Fatal(err)
	}
	var m ConfigMessage
	if err = proto.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, ToConfigMessage(&m)); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(laceconfig.Message{}, ToConfigMessage(&ConfigMessage{})); diff != "" {
		t.Fatal(diff)
	}
}
