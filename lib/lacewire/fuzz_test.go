package lacewire

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// seeds are messages of each kind that instances send to each other.
func seeds(f *testing.F) {
	holder := FromHolder(laceunit.Holder{Instance: "i", Incarnation: 3})
	records, err := FromRecords([]laceledger.Record{laceledger.Close{Budget: "b", Grant: "g"}})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []proto.Message{
		records,
		&PeerRecord{Epoch: 2, Members: []*PeerMember{{Holder: holder, Address: "127.0.0.1:1"}}, Fenced: []*PeerHolder{holder}},
		&PeerEntry{Owner: holder, Serial: 1},
		&ConfigMessage{Status: &ConfigStatus{Version: 4, Confirmed: true}},
		&PromiseRequest{},
		&ProbeReply{},
		&AcknowledgeReply{},
	} {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte{0xff, 0x01})
}

// Guards against a message of another instance, truncated or made up, that makes the mapping to domain types panic.
func FuzzMessages(f *testing.F) {
	seeds(f)
	f.Fuzz(func(_ *testing.T, text []byte) {
		var records LedgerRecords
		if proto.Unmarshal(text, &records) == nil {
			_, _ = ToRecords(&records)
		}
		var record PeerRecord
		if proto.Unmarshal(text, &record) == nil {
			ToMembershipRecord(&record)
		}
		var entry PeerEntry
		if proto.Unmarshal(text, &entry) == nil {
			ToJournalEntries([]*PeerEntry{&entry, nil})
		}
		var message ConfigMessage
		if proto.Unmarshal(text, &message) == nil {
			ToConfigMessage(&message)
		}
		var verdict LedgerVerdict
		if proto.Unmarshal(text, &verdict) == nil {
			_, _ = ToVerdict(&verdict)
		}
		fuzzMembership(text)
	})
}

func fuzzMembership(text []byte) {
	var ask PromiseRequest
	if proto.Unmarshal(text, &ask) == nil {
		ToPromiseAsk(&ask)
	}
	var promise PromiseReply
	if proto.Unmarshal(text, &promise) == nil {
		ToPromiseReply(&promise)
	}
	var probe ProbeReply
	if proto.Unmarshal(text, &probe) == nil {
		ToProbeReply(&probe)
	}
	var ack AcknowledgeReply
	if proto.Unmarshal(text, &ack) == nil {
		ToAckReply(&ack)
	}
}
