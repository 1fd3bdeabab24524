package lacedirectory

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrInvalidMember means that a stored member can't be decoded.
var ErrInvalidMember = errors.New("directory: invalid member")

// Member is an instance of the fleet as it is registered in the store.
type Member struct {
	Holder laceunit.Holder
	Place  laceunit.Place
	// CallerAddress is for requests of callers, PeerAddress for calls between instances.
	CallerAddress laceunit.Address
	PeerAddress   laceunit.Address
	// Capacity is the CPU capacity that the machine gives the instance, Load its recent CPU usage.
	Capacity Cores
	Load     Cores
	// Link is the bandwidth of the machine's network link.
	Link Megabits
	// Era is the era of the store in which the instance registered first; zero in the entries of earlier builds.
	Era laceplatform.Era
	// Isolated is true while the instance reaches no backend server.
	Isolated bool
}

// Cores is CPU capacity or usage in cores.
type Cores float64

// milliCoresPerCore converts capacity and load to the unit in which they are stored.
const milliCoresPerCore = 1000

// kilobitsPerMegabit converts bandwidth to the unit in which it is stored.
const kilobitsPerMegabit = 1000

// equalExceptLoad reports whether two members differ in nothing but their load.
func (m Member) equalExceptLoad(other Member) bool {
	other.Load = m.Load
	return m == other
}

type memberJSON struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
	// Capacity and Load are in thousandths of a core.
	Capacity int64 `json:"capacity"`
	Load     int64 `json:"load"`
	// Link is in kilobits per second; 0 means unknown.
	Link int64 `json:"link,omitempty"`
	Era  int64 `json:"era,omitempty"`
	// Isolated is missing in the entries of earlier builds, which ignore it.
	Isolated bool `json:"isolated,omitempty"`
}

// Encode returns the stored form of a member.
func Encode(m Member) ([]byte, error) {
	data, err := json.Marshal(memberJSON{
		Instance:    string(m.Holder.Instance),
		Incarnation: uint64(m.Holder.Incarnation),
		Region:      string(m.Place.Region),
		Zone:        string(m.Place.Zone),
		Caller:      string(m.CallerAddress),
		Peer:        string(m.PeerAddress),
		Capacity:    int64(m.Capacity * milliCoresPerCore),
		Load:        int64(m.Load * milliCoresPerCore),
		Link:        int64(m.Link * kilobitsPerMegabit),
		Era:         int64(m.Era),
		Isolated:    m.Isolated,
	})
	return data, errors.Wrap(err, "directory: encode member")
}

// Decode parses the stored form of a member.
func Decode(data []byte) (Member, error) {
	var f memberJSON
	if err := json.Unmarshal(data, &f); err != nil {
		return Member{}, errors.Wrap(ErrInvalidMember, err.Error())
	}
	if f.Instance == "" || f.Caller == "" {
		return Member{}, errors.Wrap(ErrInvalidMember, "instance or address is missing")
	}
	if f.Capacity <= 0 || f.Load < 0 || f.Link < 0 {
		return Member{}, errors.Wrap(ErrInvalidMember, "capacity, load or link is out of range")
	}
	return Member{
		Holder: laceunit.Holder{
			Instance:    laceunit.InstanceID(f.Instance),
			Incarnation: laceunit.Incarnation(f.Incarnation),
		},
		Place: laceunit.Place{
			Region: laceunit.RegionID(f.Region),
			Zone:   laceunit.ZoneID(f.Zone),
		},
		CallerAddress: laceunit.Address(f.Caller),
		PeerAddress:   laceunit.Address(f.Peer),

		Capacity: Cores(f.Capacity) / milliCoresPerCore,
		Load:     Cores(f.Load) / milliCoresPerCore,
		Link:     Megabits(f.Link) / kilobitsPerMegabit,
		Era:      laceplatform.Era(f.Era),
		Isolated: f.Isolated,
	}, nil
}
