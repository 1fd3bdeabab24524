package lacedirectory

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// ErrMember means that a stored member can't be read.
var ErrInvalidMember = errors.New("directory: member can't be read")

// Member is an instance that takes requests.
type Member struct {
	Holder laceunit.Holder
	Place  laceunit.Place
	// Caller is the address for callers, Peer the one for other instances.
	CallerAddress laceunit.Address
	PeerAddress   laceunit.Address
	// Capacity is what the machine gives the instance, Load what it lately used of that.
	Capacity Cores
	Load     Cores
	// Link is what the machine's link carries.
	Link Megabits
}

// Cores is an amount of processor time for each second.
type Cores float64

// milliCores is the unit in which members write capacities and loads.
const milliCores = 1000

// kiloBits is the unit in which members write links.
const kiloBits = 1000

// same reports whether two members differ in nothing but their load.
func (m Member) same(other Member) bool {
	other.Load = m.Load
	return m == other
}

type memberForm struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
	// Capacity and Load are in thousandths of a core.
	Capacity int64 `json:"capacity"`
	Load     int64 `json:"load"`
	// Link is in kilobits a second; 0 means that it is not known.
	Link int64 `json:"link,omitempty"`
}

// Encode writes a member.
func Encode(m Member) ([]byte, error) {
	text, err := json.Marshal(memberForm{
		Instance:    string(m.Holder.Instance),
		Incarnation: uint64(m.Holder.Incarnation),
		Region:      string(m.Place.Region),
		Zone:        string(m.Place.Zone),
		Caller:      string(m.CallerAddress),
		Peer:        string(m.PeerAddress),
		Capacity:    int64(m.Capacity * milliCores),
		Load:        int64(m.Load * milliCores),
		Link:        int64(m.Link * kiloBits),
	})
	return text, errors.Wrap(err, "directory: encode member")
}

// Decode reads a member.
func Decode(text []byte) (Member, error) {
	var f memberForm
	if err := json.Unmarshal(text, &f); err != nil {
		return Member{}, errors.Wrap(ErrInvalidMember, err.Error())
	}
	if f.Instance == "" || f.Caller == "" {
		return Member{}, errors.Wrap(ErrInvalidMember, "instance or address is missing")
	}
	if f.Capacity <= 0 || f.Load < 0 || f.Link < 0 {
		return Member{}, errors.Wrap(ErrInvalidMember, "capacity, load or link is out of bounds")
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

		Capacity: Cores(f.Capacity) / milliCores,
		Load:     Cores(f.Load) / milliCores,
		Link:     Megabits(f.Link) / kiloBits,
	}, nil
}
