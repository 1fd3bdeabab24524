package laceshare

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrRecord means that a stored record or its key is invalid.
var ErrRecord = errors.New("share: record can't be read")

const (
	// maxParts bounds the number of parts of a limit, and thereby the size of a record.
	maxParts = 64
	// minRate is the lowest limit, in requests a second; lower ones are raised to it. Only a response without a limit ends
	// a limit.
	minRate laceunit.Rate = 0.1
	// maxRate is a limit that no server reaches; higher ones are lowered to it.
	maxRate laceunit.Rate = 1e6
)

// boundRate returns the limit that applies for an announced one.
func boundRate(r laceunit.Rate) laceunit.Rate { return min(max(r, minRate), maxRate) }

// Server identifies one incarnation of a backend server; StartTime distinguishes incarnations with the same ID.
type Server struct {
	ID        laceunit.ServerID
	StartTime int64
}

// Record is the stored allocation of the limit of a server.
type Record struct {
	Limit laceunit.Rate
	// Parts holds the holder of each equal part of the limit; the zero holder means that the part is free.
	Parts []laceunit.Holder
}

// minParts is the number of parts of even the lowest limit, so that it is used while one of the holders has no
// requests.
const minParts = 2

// partCount returns the number of parts of a limit. Each part permits a burst of one request, so that there are only a
// few more parts than requests a second.
func partCount(limit laceunit.Rate) int {
	return minParts + int(min(limit, maxParts-minParts))
}

func (r Record) clone() Record {
	r.Parts = append([]laceunit.Holder(nil), r.Parts...)
	return r
}

// count returns the number of parts of a holder.
func (r Record) count(h laceunit.Holder) int {
	n := 0
	for _, x := range r.Parts {
		if x == h {
			n++
		}
	}
	return n
}

// resize returns the record for another limit; the remaining parts keep their holders.
func (r Record) resize(limit laceunit.Rate) Record {
	resized := Record{
		Limit: limit,
		Parts: make([]laceunit.Holder, partCount(limit)),
	}
	copy(resized.Parts, r.Parts)
	return resized
}

// Key returns the key of a server's record in the store.
func Key(prefix laceplatform.Key, s Server) laceplatform.Key {
	return prefix + laceplatform.Key(string(s.ID)+"/"+strconv.FormatInt(s.StartTime, 10))
}

// ParseKey returns the server whose record has a key.
func ParseKey(prefix, key laceplatform.Key) (Server, error) {
	text, ok := strings.CutPrefix(string(key), string(prefix))
	i := strings.LastIndexByte(text, '/')
	if !ok || i <= 0 {
		return Server{}, errors.Wrap(ErrRecord, string(key))
	}
	startTime, err := strconv.ParseInt(text[i+1:], 10, 64)
	if err != nil {
		return Server{}, errors.Wrap(ErrRecord, string(key))
	}
	return Server{
		ID:        laceunit.ServerID(text[:i]),
		StartTime: startTime,
	}, nil
}

type recordJSON struct {
	Limit float64    `json:"limit"`
	Parts []partJSON `json:"parts"`
}

type partJSON struct {
	Instance    string `json:"instance,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Encode returns the stored form of a record.
func Encode(r Record) ([]byte, error) {
	encoded := recordJSON{
		Limit: float64(r.Limit),
		Parts: make([]partJSON, 0, len(r.Parts)),
	}
	for _, h := range r.Parts {
		encoded.Parts = append(encoded.Parts, partJSON{
			Instance:    string(h.Instance),
			Incarnation: uint64(h.Incarnation),
		})
	}
	text, err := json.Marshal(encoded)
	return text, errors.Wrap(err, "share: encode record")
}

// Decode parses and validates the stored form of a record.
func Decode(text []byte) (Record, error) {
	var decoded recordJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return Record{}, errors.Wrap(ErrRecord, err.Error())
	}
	r := Record{Limit: min(laceunit.Rate(decoded.Limit), maxRate)}
	if !(r.Limit >= minRate) || len(decoded.Parts) != partCount(r.Limit) {
		return Record{}, errors.Wrap(ErrRecord, "limit or number of parts is out of bounds")
	}
	for _, p := range decoded.Parts {
		r.Parts = append(r.Parts, laceunit.Holder{
			Instance:    laceunit.InstanceID(p.Instance),
			Incarnation: laceunit.Incarnation(p.Incarnation),
		})
	}
	return r, nil
}
