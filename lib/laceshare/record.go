package laceshare

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrRecord means that a stored record or its key can't be read.
var ErrRecord = errors.New("share: record can't be read")

const (
	// mostParts bounds the parts of a limit, and with them the size of a record.
	mostParts = 64
	// leastRate is what a lower limit counts as, in requests a second. Only an answer tells that a limit has ended.
	leastRate laceunit.Rate = 0.1
)

// Server is one start of a backend server.
type Server struct {
	ID   laceunit.ServerID
	Born int64
}

// Record is what the store holds about a server that has named a limit.
type Record struct {
	Limit laceunit.Rate
	// Parts are equal parts of the limit with the holder of each; a zero holder means that the part is free.
	Parts []laceunit.Holder
}

// leastParts is how many instances share even the lowest limit, so that it is used while one of them has no requests.
const leastParts = 2

// parts is how many parts a limit has. Each part lets one request be sent at once, so that there are few more of them than
// requests in a second.
func parts(limit laceunit.Rate) int {
	return leastParts + int(min(limit, mostParts-leastParts))
}

func (r Record) clone() Record {
	r.Parts = append([]laceunit.Holder(nil), r.Parts...)
	return r
}

// count returns how many parts a holder has.
func (r Record) count(h laceunit.Holder) int {
	n := 0
	for _, x := range r.Parts {
		if x == h {
			n++
		}
	}
	return n
}

// resize returns the record for another limit; parts that remain keep their holders.
func (r Record) resize(limit laceunit.Rate) Record {
	c := Record{
		Limit: limit,
		Parts: make([]laceunit.Holder, parts(limit)),
	}
	copy(c.Parts, r.Parts)
	return c
}

// Key returns where a server's record stands.
func Key(prefix laceplatform.Key, s Server) laceplatform.Key {
	return prefix + laceplatform.Key(string(s.ID)+"/"+strconv.FormatInt(s.Born, 10))
}

// ParseKey returns the server whose record stands at a key.
func ParseKey(prefix, key laceplatform.Key) (Server, error) {
	text, ok := strings.CutPrefix(string(key), string(prefix))
	i := strings.LastIndexByte(text, '/')
	if !ok || i <= 0 {
		return Server{}, errors.Wrap(ErrRecord, string(key))
	}
	born, err := strconv.ParseInt(text[i+1:], 10, 64)
	if err != nil {
		return Server{}, errors.Wrap(ErrRecord, string(key))
	}
	return Server{
		ID:   laceunit.ServerID(text[:i]),
		Born: born,
	}, nil
}

type recordForm struct {
	Limit float64    `json:"limit"`
	Parts []partForm `json:"parts"`
}

type partForm struct {
	Instance    string `json:"instance,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Encode writes a record.
func Encode(r Record) ([]byte, error) {
	f := recordForm{
		Limit: float64(r.Limit),
		Parts: make([]partForm, 0, len(r.Parts)),
	}
	for _, h := range r.Parts {
		f.Parts = append(f.Parts, partForm{
			Instance:    string(h.Instance),
			Incarnation: uint64(h.Incarnation),
		})
	}
	text, err := json.Marshal(f)
	return text, errors.Wrap(err, "share: encode record")
}

// Decode reads a record.
func Decode(text []byte) (Record, error) {
	var f recordForm
	if err := json.Unmarshal(text, &f); err != nil {
		return Record{}, errors.Wrap(ErrRecord, err.Error())
	}
	r := Record{Limit: laceunit.Rate(f.Limit)}
	if !(r.Limit >= leastRate) || len(f.Parts) != parts(r.Limit) {
		return Record{}, errors.Wrap(ErrRecord, "limit or number of parts is out of bounds")
	}
	for _, p := range f.Parts {
		r.Parts = append(r.Parts, laceunit.Holder{
			Instance:    laceunit.InstanceID(p.Instance),
			Incarnation: laceunit.Incarnation(p.Incarnation),
		})
	}
	return r, nil
}
