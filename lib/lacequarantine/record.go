package lacequarantine

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrRecord means that a stored record or its key is invalid.
var ErrRecord = errors.New("quarantine: record can't be read")

const (
	// maxReported is how many of its latest crashes an instance publishes.
	maxReported = 8
	// maxRecordBytes bounds the size of a record that is decoded.
	maxRecordBytes = 64 << 10
)

// partJSON is the stored form of a part: its model and its id.
type partJSON [2]string

type crashJSON struct {
	Server string       `json:"server"`
	Born   int64        `json:"born"`
	At     int64        `json:"at"`
	Calls  [][]partJSON `json:"calls"`
	// Others and Known are hashes of parts.
	Others []byte `json:"others,omitempty"`
	Known  []byte `json:"known,omitempty"`
}

type reportJSON struct {
	Crashes []crashJSON `json:"crashes"`
}

type verdictJSON struct {
	State   string     `json:"state"`
	Parts   []partJSON `json:"parts"`
	At      int64      `json:"at"`
	Since   int64      `json:"since,omitempty"`
	Origin  string     `json:"origin"`
	Servers []string   `json:"servers,omitempty"`
}

// EncodeReport returns the stored form of the crashes that an instance observed. If it would be longer than a record may
// be, as ids can be that callers choose, the earliest crashes are left out, and then parts of the last one.
func EncodeReport(crashes []Crash) ([]byte, error) {
	text, err := encodeCrashes(crashes)
	for limit := maxReportParts / 2; err == nil && len(text) > maxRecordBytes && limit > 0; {
		if len(crashes) > 1 {
			crashes = crashes[1:]
		} else {
			last := crashes[0]
			last.Prompts = fitPrompts(last.Prompts, limit)
			last.Others = last.Others[:min(len(last.Others), maxReportHashes*limit/maxReportParts)]
			last.Answered = last.Answered[:min(len(last.Answered), maxReportHashes*limit/maxReportParts)]
			crashes, limit = []Crash{last}, limit/2
		}
		text, err = encodeCrashes(crashes)
	}
	return text, err
}

func encodeCrashes(crashes []Crash) ([]byte, error) {
	encoded := reportJSON{Crashes: make([]crashJSON, 0, len(crashes))}
	for _, c := range crashes {
		x := crashJSON{
			Server: string(c.Server),
			Born:   c.StartTime,
			At:     c.At.UnixMilli(),
			Others: c.Others.encode(),
			Known:  c.Answered.encode(),
		}
		for _, p := range c.Prompts {
			x.Calls = append(x.Calls, encodeParts(p))
		}
		encoded.Crashes = append(encoded.Crashes, x)
	}
	text, err := json.Marshal(encoded)
	return text, errors.Wrap(err, "quarantine: encode report")
}

// DecodeReport parses and validates the stored form of a report.
func DecodeReport(text []byte) ([]Crash, error) {
	var decoded reportJSON
	if err := decode(text, &decoded); err != nil {
		return nil, err
	}
	if len(decoded.Crashes) > maxReported {
		return nil, errors.Wrap(ErrRecord, "too many crashes")
	}
	crashes := make([]Crash, 0, len(decoded.Crashes))
	for _, x := range decoded.Crashes {
		c := Crash{
			Server:    laceunit.ServerID(x.Server),
			StartTime: x.Born,
			At:        time.UnixMilli(x.At),
		}
		if x.Server == "" || len(x.Calls) > maxPrompts {
			return nil, errors.Wrap(ErrRecord, "crash is out of bounds")
		}
		for _, p := range x.Calls {
			parts, err := decodeParts(p)
			if err != nil {
				return nil, err
			}
			c.Prompts = append(c.Prompts, parts)
		}
		var err error
		if c.Others, err = decodeHashes(x.Others); err != nil {
			return nil, err
		}
		if c.Answered, err = decodeHashes(x.Known); err != nil {
			return nil, err
		}
		crashes = append(crashes, c)
	}
	return crashes, nil
}

// EncodeVerdict returns the stored form of a verdict; its id is in the key.
func EncodeVerdict(v Verdict) ([]byte, error) {
	encoded := verdictJSON{
		State:  string(v.State),
		Parts:  encodeParts(v.Parts),
		At:     v.At.UnixMilli(),
		Origin: string(v.Origin),
	}
	if !v.Since.IsZero() {
		encoded.Since = v.Since.UnixMilli()
	}
	for _, id := range v.Servers {
		encoded.Servers = append(encoded.Servers, string(id))
	}
	text, err := json.Marshal(encoded)
	return text, errors.Wrap(err, "quarantine: encode verdict")
}

// DecodeVerdict parses and validates the stored form of a verdict.
func DecodeVerdict(id VerdictID, text []byte) (Verdict, error) {
	var decoded verdictJSON
	if err := decode(text, &decoded); err != nil {
		return Verdict{}, err
	}
	v := Verdict{
		ID:     id,
		State:  State(decoded.State),
		At:     time.UnixMilli(decoded.At),
		Origin: laceunit.InstanceID(decoded.Origin),
	}
	if v.State != Blocked && v.State != Lifted && v.State != Allowed {
		return Verdict{}, errors.Wrap(ErrRecord, "state "+decoded.State)
	}
	if decoded.Since != 0 {
		v.Since = time.UnixMilli(decoded.Since)
	}
	var err error
	if v.Parts, err = decodeParts(decoded.Parts); err != nil {
		return Verdict{}, err
	}
	for _, s := range decoded.Servers {
		v.Servers = append(v.Servers, laceunit.ServerID(s))
	}
	return v, nil
}

func decode(text []byte, decoded any) error {
	if len(text) > maxRecordBytes {
		return errors.Wrap(ErrRecord, "record is too long")
	}
	if err := json.Unmarshal(text, decoded); err != nil {
		return errors.Wrap(ErrRecord, err.Error())
	}
	return nil
}

func encodeParts(parts []Part) []partJSON {
	encoded := make([]partJSON, 0, len(parts))
	for _, p := range parts {
		encoded = append(encoded, partJSON{string(p.Model), p.ID})
	}
	return encoded
}

func decodeParts(encoded []partJSON) ([]Part, error) {
	if len(encoded) == 0 || len(encoded) > MaxRecordParts {
		return nil, errors.Wrap(ErrRecord, "number of parts is out of bounds")
	}
	parts := make([]Part, 0, len(encoded))
	for _, x := range encoded {
		if x[1] == "" || len(x[1]) > MaxIDBytes {
			return nil, errors.Wrap(ErrRecord, "id of a part is out of bounds")
		}
		parts = append(parts, Part{
			Model: laceunit.ModelID(x[0]),
			ID:    x[1],
		})
	}
	return parts, nil
}

// Keys are the key prefixes of the records in the store.
type Keys struct {
	// Reports is the prefix of the crashes by the instance that observed them, Verdicts that of the verdicts by id.
	Reports  laceplatform.Key
	Verdicts laceplatform.Key
}

// report returns the key of an instance's report.
func (k Keys) report(instance laceunit.InstanceID) laceplatform.Key {
	return k.Reports + laceplatform.Key(instance)
}

// Verdict returns the key of a verdict.
func (k Keys) Verdict(id VerdictID) laceplatform.Key { return k.Verdicts + laceplatform.Key(id) }

// Contains reports whether a key belongs to a record.
func (k Keys) Contains(key laceplatform.Key) bool {
	return strings.HasPrefix(string(key), string(k.Reports)) || strings.HasPrefix(string(key), string(k.Verdicts))
}

// suffix returns the part of a key after a prefix, and whether the key has the prefix and something after it.
func suffix(key, prefix laceplatform.Key) (string, bool) {
	text, ok := strings.CutPrefix(string(key), string(prefix))
	return text, ok && text != ""
}
