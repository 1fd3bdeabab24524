package lacestream

import (
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrRecord means that a stored record can't be read.
var ErrRecord = errors.New("stream: record can't be read")

// Keys are the key prefixes of the records.
type Keys struct {
	// Versions has a record for each version of a service. Every instance follows it.
	Versions laceplatform.Key
	// Streams has a record for each incarnation of an instance. It is only read when a stream is not known.
	Streams laceplatform.Key
}

// ServiceVersion is a software version of a service.
type ServiceVersion struct {
	Service laceunit.ServiceID
	Version laceunit.SoftwareVersion
}

// versionJSON is the record of a version. Era is that of the store in which the record was last confirmed.
type versionJSON struct {
	Service laceunit.ServiceID       `json:"service"`
	Version laceunit.SoftwareVersion `json:"version"`
	Era     laceplatform.Era         `json:"era,omitempty"`
}

// versionKey returns the key of the record of a version. The names in it may be too long for a key.
func (k Keys) versionKey(v ServiceVersion) laceplatform.Key {
	return k.Versions + laceplatform.Key(strconv.FormatUint(hash(v.Service, string(v.Version)), 16))
}

func (k Keys) streamsKey(self laceunit.Holder) laceplatform.Key {
	return k.Streams + laceplatform.Key(self.Instance) + "/" + laceplatform.Key(strconv.FormatUint(uint64(self.Incarnation), 10))
}

// streamKey identifies a stream by a hash of its service and of the attempt that began it.
type streamKey uint64

func newStreamKey(service laceunit.ServiceID, id laceunit.AttemptID) streamKey {
	return streamKey(hash(service, string(id)))
}

func hash(service laceunit.ServiceID, name string) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + name)
}

func encodeVersion(v ServiceVersion, era laceplatform.Era) ([]byte, error) {
	text, err := json.Marshal(versionJSON{
		Service: v.Service,
		Version: v.Version,
		Era:     era,
	})
	return text, errors.Wrap(err, "stream: encode version")
}

func decodeVersion(value []byte) (ServiceVersion, laceplatform.Era, error) {
	var v versionJSON
	if err := json.Unmarshal(value, &v); err != nil || v.Service == "" || !v.Era.Valid() {
		return ServiceVersion{}, 0, errors.Wrap(ErrRecord, "version")
	}
	return ServiceVersion{
		Service: v.Service,
		Version: v.Version,
	}, v.Era, nil
}

// streamsJSON lists streams of one version; Streams holds their keys with 8 bytes each.
type streamsJSON struct {
	Version laceunit.SoftwareVersion `json:"version"`
	Streams []byte                   `json:"streams"`
}

func encodeStreams(byVersion map[laceunit.SoftwareVersion][]streamKey) ([]byte, error) {
	list := make([]streamsJSON, 0, len(byVersion))
	for v, keys := range byVersion {
		x := streamsJSON{Version: v}
		for _, k := range keys {
			x.Streams = binary.BigEndian.AppendUint64(x.Streams, uint64(k))
		}
		list = append(list, x)
	}
	text, err := json.Marshal(list)
	return text, errors.Wrap(err, "stream: encode streams")
}

// decodeStreams adds the streams of a record to a map.
func decodeStreams(value []byte, streams map[streamKey]laceunit.SoftwareVersion) error {
	var list []streamsJSON
	if err := json.Unmarshal(value, &list); err != nil {
		return errors.Wrap(ErrRecord, "streams")
	}
	for _, x := range list {
		if len(x.Streams)%8 != 0 {
			return errors.Wrap(ErrRecord, "streams")
		}
		for b := x.Streams; len(b) > 0; b = b[8:] {
			streams[streamKey(binary.BigEndian.Uint64(b))] = x.Version
		}
	}
	return nil
}
