package lacewire

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// BenchmarkMembers measures the size of the membership record and the time to decode it, which every instance does at
// each join and leave.
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{34, 170, 340} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			var r lacemember.Record
			for i := range members {
				r = r.Join(lacemember.Member{
					Holder:        laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprintf("router-%d", i)), Incarnation: laceunit.Incarnation(1000000 + i)},
					Address:       laceunit.Address(fmt.Sprintf("10.20.%d.%d:8081", i/256, i%256)),
					CallerAddress: laceunit.Address(fmt.Sprintf("10.20.%d.%d:8080", i/256, i%256)),
					Place:         laceunit.Place{Region: "region-1", Zone: "region-1-a"},
				})
			}
			value, err := proto.Marshal(FromMembershipRecord(r))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var m PeerRecord
				if err := proto.Unmarshal(value, &m); err != nil {
					b.Fatal(err)
				}
				if len(ToMembershipRecord(&m).Members) != members {
					b.Fatal("members are missing")
				}
			}
			b.ReportMetric(float64(len(value)), "B")
		})
	}
}
