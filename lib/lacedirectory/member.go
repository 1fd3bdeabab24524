package lacedirectory

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// ErrMember means that a stored member can't be read.
var ErrMember = errors.New("directory: member can't be read")

// Member is an instance that takes requests.
type Member struct {
	Holder laceunit.Holder
	Place  laceunit.Place
	// Caller is the address for callers, Peer the one for other instances.
	Caller laceunit.Address
	Peer   laceunit.Address
}

type memberForm struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
}

// Encode writes a member.
func Encode(m Member) ([]byte, error) {
	text, err := json.Marshal(memberForm{
		Instance:    string(m.Holder.Instance),
		Incarnation: uint64(m.Holder.Incarnation),
		Region:      string(m.Place.Region),
		Zone:        string(m.Place.Zone),
		Caller:      string(m.Caller),
		Peer:        string(m.Peer),
	})
	return text, errors.Wrap(err, "directory: encode member")
}

// Decode reads a member.
func Decode(text []byte) (Member, error) {
	var f memberForm
	if err := json.Unmarshal(text, &f); err != nil {
		return Member{}, errors.Wrap(ErrMember, err.Error())
	}
	if f.Instance == "" || f.Caller == "" {
		return Member{}, errors.Wrap(ErrMember, "instance or address is missing")
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
		Caller: laceunit.Address(f.Caller),
		Peer:   laceunit.Address(f.Peer),
	}, nil
}
